package ebonygw.gateway;

import ebonygw.eligibility.AllowedRegions;
import java.util.List;
import java.util.Objects;

/**
 * A route of the configuration.
 *
 * @param name unique name
 * @param host host name of the requests that it matches
 * @param prefix prefix of the paths that it matches, with a slash at both ends
 * @param kind whether its requests may run repeatedly
 * @param services services that its requests are split among by weight, at least one
 * @param timeoutNanos maximum time from the arrival of a request to the end of its response,
 *     positive
 * @param objectiveNanos latency objective: maximum time until the response, or its first event
 * @param maxAttempts maximum number of targets that may run one request, at least 1
 * @param priority scheduling priority of its requests, 0 is the highest
 * @param openToAll whether requests without a key are accepted
 * @param resumable whether a stream may be resumed at another target
 * @param allowedRegions regions in which its requests may run
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
        boolean resumable,
        AllowedRegions allowedRegions) {
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
        Objects.requireNonNull(allowedRegions, "allowedRegions");
        services = List.copyOf(services);
        if (services.isEmpty() || timeoutNanos <= 0 || maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "route "
                            + name
                            + " needs a service, a positive timeout and at least 1 attempt: "
                            + services.size()
                            + ", "
                            + timeoutNanos
                            + ", "
                            + maxAttempts);
        }
    }

    /** Creates a route whose requests may run in all regions. */
    public GatewayRoute(
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
        this(
                name,
                host,
                prefix,
                kind,
                services,
                timeoutNanos,
                objectiveNanos,
                maxAttempts,
                priority,
                openToAll,
                resumable,
                AllowedRegions.ANY);
    }

    /**
     * A service that receives a fraction of a route's requests.
     *
     * @param service name of the service
     * @param weight its fraction relative to the sum of all weights, not negative
     */
    public record WeightedService(String service, int weight) {}

    /** Returns whether a request that may have run may be sent again. */
    public boolean isIdempotent() {
        return kind == RequestKind.IDEMPOTENT;
    }

    /** Returns this route with other allowed regions. */
    public GatewayRoute withAllowedRegions(AllowedRegions regions) {
        return new GatewayRoute(
                name,
                host,
                prefix,
                kind,
                services,
                timeoutNanos,
                objectiveNanos,
                maxAttempts,
                priority,
                openToAll,
                resumable,
                regions);
    }

    /**
     * Returns the service of a request, chosen by weight. Equal hashes give the same service; if
     * all weights are 0, the first service is returned.
     *
     * @param hash hash of the request's identifier
     */
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
