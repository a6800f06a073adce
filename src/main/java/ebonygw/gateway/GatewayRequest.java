package ebonygw.gateway;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import net.openhft.hashing.LongHashFunction;

/**
 * A caller's request as the entry reads it.
 *
 * @param id identifier that the caller gave this attempt of its own
 * @param method HTTP method
 * @param host host name without a port
 * @param path path and query as they were sent
 * @param keyHash SHA-256 of the caller's key, empty without one
 * @param model base model that it names, empty for none
 * @param adapter adapter that it names as MODEL/ADAPTER, empty for none
 * @param promptTokens tokens of its prompt, below 0 if it declares none
 * @param maxTokens most tokens of its answer
 * @param promptParts parts of its prompt in order
 * @param waitNanos how long the caller waits, 0 if it does not say
 * @param resumeAt last event that the caller has of this stream, empty for none
 * @param headers end-to-end header fields to pass on, names in lower case
 * @param body the whole body
 */
public record GatewayRequest(
        String id,
        String method,
        String host,
        String path,
        String keyHash,
        String model,
        String adapter,
        long promptTokens,
        long maxTokens,
        List<PromptPart> promptParts,
        long waitNanos,
        String resumeAt,
        Map<String, String> headers,
        ByteString body) {
    /** Creates a request. */
    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        promptParts = List.copyOf(promptParts);
        headers = Map.copyOf(headers);
    }

    /**
     * A part of a prompt that other requests may share.
     *
     * @param id its identifier
     * @param tokens its length
     */
    public record PromptPart(String id, int tokens) {}

    /** Returns the tokens that a customer is charged, given the charge of undeclared requests. */
    public long charge(long plainTokens) {
        return promptTokens < 0 ? plainTokens : promptTokens + maxTokens;
    }

    /** Returns a hash of the request's identifier. */
    public long hash() {
        return LongHashFunction.xx().hashChars(id);
    }
}
