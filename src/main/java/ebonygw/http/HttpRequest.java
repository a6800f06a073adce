package ebonygw.http;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Objects;

/**
 * A request to an HTTP server.
 *
 * @param method the HTTP method
 * @param path path and query
 * @param headers header fields, names in lower case; the client adds {@code Content-Length}, and
 *     {@code Host} if it is missing
 * @param body the complete body, may be empty
 */
public record HttpRequest(
        String method, String path, Map<String, String> headers, ByteString body) {
    /**
     * Creates a request.
     *
     * @throws NullPointerException if an argument is null
     */
    public HttpRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns a request without headers and body. */
    public static HttpRequest of(String method, String path) {
        return new HttpRequest(method, path, Map.of(), ByteString.EMPTY);
    }

    /** Returns a request with a JSON body. */
    public static HttpRequest ofJson(String method, String path, ByteString body) {
        return new HttpRequest(method, path, Map.of("content-type", "application/json"), body);
    }
}
