package ebonygw.request;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt of a request as entry and target processes see it.
 *
 * @param id the request
 * @param attempt number of the attempt, from 1
 * @param customer for whom it runs
 * @param keyId identifier of the key that the caller presented, empty on routes open to all
 * @param route name of the route
 * @param adapter exact version to run on, empty for plain services
 * @param idempotent whether running it twice does no harm
 * @param priority greater runs earlier within the customer
 * @param promptTokens tokens of the prompt, 0 for plain services
 * @param maxTokens most tokens of the answer, or the charge of a call of a plain service
 * @param prefixHash hash of the prompt's prefix, 0 if none
 * @param streamed whether the caller wants the answer as server-sent events
 * @param payload what the target gets
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

    /** Returns the tokens charged before it runs: prompt plus the most of the answer. */
    public long charge() {
        return promptTokens + maxTokens;
    }

    /** Returns the same work as another attempt. */
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
