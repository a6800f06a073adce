package ebonygw.gateway;

import ebonygw.targetlimit.ColdLimit;
import java.util.Objects;
import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name unique name
 * @param maxConnections maximum number of connections that each target accepts from all clients
 *     together
 * @param healthPath path at which targets report their health and instance
 * @param engine capacity limits of its model replicas, empty for a plain service
 * @param cold limit on the requests to its cold targets
 */
public record GatewayService(
        String name,
        int maxConnections,
        String healthPath,
        Optional<EngineLimits> engine,
        ColdLimit cold) {
    /** Creates a service. */
    public GatewayService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(cold, "cold");
    }

    /** Creates a service whose cold targets get as many requests as others. */
    public GatewayService(
            String name, int maxConnections, String healthPath, Optional<EngineLimits> engine) {
        this(name, maxConnections, healthPath, engine, ColdLimit.NONE);
    }
}
