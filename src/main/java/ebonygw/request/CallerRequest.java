package ebonygw.request;

import java.util.Objects;

/**
 * A caller's request after parsing, before any decision.
 *
 * @param keyHash SHA-256 of the presented key in lower-case hexadecimal, empty if none was
 *     presented
 * @param route name of the route
 * @param model the adapter asked for, as {@code adapter} or {@code adapter@version}; empty on
 *     routes to plain services
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens most tokens of the answer
 * @param prefixHash hash of the prompt's prefix, 0 if none
 * @param streamed whether the answer is wanted as server-sent events
 * @param timeoutNanos time limit that the caller asks for, 0 for the route's
 * @param payload what the target gets
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
