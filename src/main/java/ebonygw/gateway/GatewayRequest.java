package ebonygw.gateway;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import net.openhft.hashing.LongHashFunction;

/**
 * A caller's request as parsed by the entry.
 *
 * @param id request identifier set by the caller, unique for each of the caller's own attempts
 * @param method HTTP method
 * @param host host name without a port
 * @param path path and query as they were sent
 * @param keyHash SHA-256 of the caller's API key in lower-case hexadecimal, empty without one
 * @param model requested base model, empty for none
 * @param adapter requested adapter as MODEL/ADAPTER, empty for none
 * @param promptTokens declared number of prompt tokens, negative if not declared
 * @param maxTokens maximum number of tokens of the response
 * @param promptParts parts of the prompt in order, by which cached prefixes are found
 * @param callerTimeoutNanos how long the caller waits for the response, 0 if not declared
 * @param lastEventId last event of this stream that the caller has received, empty for none
 * @param headers end-to-end header fields to pass on, names in lower case
 * @param body the complete body
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
        long callerTimeoutNanos,
        String lastEventId,
        Map<String, String> headers,
        ByteString body) {
    /** Creates a request. */
    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        promptParts = List.copyOf(promptParts);
        headers = Map.copyOf(headers);
    }

    /**
     * A part of a prompt that several requests may have in common.
     *
     * @param id identifier, equal for equal parts
     * @param tokens length in tokens
     */
    public record PromptPart(String id, int tokens) {}

    /**
     * Returns the tokens to charge the customer.
     *
     * @param defaultTokens charge of a request that declares no tokens
     */
    public long charge(long defaultTokens) {
        return promptTokens < 0 ? defaultTokens : promptTokens + maxTokens;
    }

    /** Returns the ids of the parts that other requests may share: all but the last one. */
    public List<String> sharedPartIds() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /** Returns a hash of the request's identifier. */
    public long hash() {
        return LongHashFunction.xx().hashChars(id);
    }
}
