package ebonygw.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A route of the configuration.
 *
 * @param name its name
 * @param host host name that selects it
 * @param prefix start of the paths that it takes, with a slash at both ends
 * @param kind what may be repeated
 * @param services services that run it, with their weights
 * @param timeoutNanos longest time that a request may be kept
 * @param objectiveNanos the latency objective: time within which an answer, or its first event, is
 *     on time
 * @param maxAttempts most targets that one request may be sent to
 * @param priority rank of its requests, 0 first
 * @param openToAll whether it takes requests without a key
 * @param resumable whether a stream may go on at another target
 */
public record GatewayRoute(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        List<WeightedService> services,
        long timeoutNanos,
        long objectiveNanos,
        int maxAttempts,
        int priority,
        boolean openToAll,
        boolean resumable) {
    /**
     * Creates a route.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if it has no service or a number is out of its bounds
     */
    public GatewayRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        if (services.isEmpty() || timeoutNanos <= 0 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " is out of its bounds");
        }
    }

    /**
     * Part of a route's requests that goes to a service.
     *
     * @param service name of the service
     * @param weight its part relative to the other weights, not negative
     */
    public record WeightedService(String service, int weight) {}

    /** Returns whether a request that may have run may be sent again. */
    public boolean mayRepeat() {
        return kind == RequestKind.IDEMPOTENT;
    }

    /** Returns the service of a request whose hash is given; the same for equal hashes. */
    public String service(long hash) {
        long total = 0;
        for (WeightedService service : services) {
            total += service.weight();
        }
        if (total <= 0) {
            return services.get(0).service();
        }
        long point = Math.floorMod(hash, total);
        for (WeightedService service : services) {
            point -= service.weight();
            if (point < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
