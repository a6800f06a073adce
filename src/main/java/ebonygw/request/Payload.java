package ebonygw.request;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Objects;

/**
 * The HTTP request sent to the target; it does not contain the caller's key.
 *
 * @param method the HTTP method
 * @param path path and query
 * @param headers header fields to forward, names in lower case
 * @param body the complete body
 */
public record Payload(String method, String path, Map<String, String> headers, ByteString body) {
    /**
     * Creates a payload.
     *
     * @throws NullPointerException if an argument is null
     */
    public Payload {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
