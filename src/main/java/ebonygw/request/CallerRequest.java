package ebonygw.request;

import java.util.Objects;

/**
 * A caller's request after parsing, before it is resolved, checked and admitted.
 *
 * @param keyHash SHA-256 of the presented key in lower-case hexadecimal, empty if none was
 *     presented
 * @param route name of the route
 * @param model the requested adapter, as {@code adapter} or {@code adapter@version}; empty on
 *     routes to plain services
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens maximum number of tokens of the response
 * @param prefixHash hash of the prompt's prefix, 0 if none
 * @param streamed whether the response is requested as server-sent events
 * @param timeoutNanos time limit requested by the caller, 0 for that of the route
 * @param payload the HTTP request for the target
 */
public record CallerRequest(
        String keyHash,
        String route,
        String model,
        long promptTokens,
        long maxTokens,
        long prefixHash,
        boolean streamed,
        long timeoutNanos,
        Payload payload) {
    /**
     * Creates a request.
     *
     * @throws NullPointerException if an argument is null
     */
    public CallerRequest {
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(payload, "payload");
    }
}
