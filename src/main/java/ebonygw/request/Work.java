package ebonygw.request;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt of a request, with all that entry and target processes need to route and run it.
 *
 * @param id the request
 * @param attempt number of the attempt, from 1
 * @param customer the customer for whom it runs
 * @param keyId identifier of the key that the caller presented, empty if none was presented
 * @param route name of the route
 * @param adapter exact version to run on, empty for plain services
 * @param idempotent whether running it more than once is safe
 * @param priority priority within the customer; higher values run first
 * @param promptTokens tokens of the prompt, 0 for plain services
 * @param maxTokens maximum number of tokens of the response, or the charge of a request to a plain
 *     service
 * @param prefixHash hash of the prompt's prefix, 0 if none
 * @param streamed whether the caller requested the response as server-sent events
 * @param payload the HTTP request for the target
 */
public record Work(
        RequestId id,
        int attempt,
        String customer,
        String keyId,
        String route,
        Optional<AdapterVersion> adapter,
        boolean idempotent,
        int priority,
        long promptTokens,
        long maxTokens,
        long prefixHash,
        boolean streamed,
        Payload payload) {
    /**
     * Creates a work item.
     *
     * @throws NullPointerException if an argument is null
     */
    public Work {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(keyId, "keyId");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(payload, "payload");
    }

    /**
     * Returns the tokens charged before it runs: those of the prompt and the maximum of the
     * response.
     */
    public long charge() {
        return promptTokens + maxTokens;
    }

    /** Returns the same work with another attempt number. */
    public Work withAttempt(int number) {
        return new Work(
                id,
                number,
                customer,
                keyId,
                route,
                adapter,
                idempotent,
                priority,
                promptTokens,
                maxTokens,
                prefixHash,
                streamed,
                payload);
    }
}
