package ebonygw.gateway;

import java.util.Objects;
import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name its name
 * @param maxConnections most connections that one of its targets takes from all callers together
 * @param healthPath path at which its targets tell their health and instance
 * @param engine limits of its model replicas, empty for a plain service
 */
public record GatewayService(
        String name, int maxConnections, String healthPath, Optional<EngineLimits> engine) {
    /** Creates a service. */
    public GatewayService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(engine, "engine");
    }
}
