package ebonygw.settings;

import java.util.Set;

/**
 * Effective settings of a route.
 *
 * @param route its name
 * @param owner customer that owns it, empty if every customer with a key may use it
 * @param openToAll whether it accepts requests without a key, on behalf of its owner
 * @param model base model that serves it, empty if a plain service does
 * @param service plain service that serves it, empty if a model does
 * @param idempotent whether requests to it may be repeated
 * @param timeoutNanos time limit of a request, in nanoseconds
 * @param priority priority among requests of the customer; greater runs earlier
 * @param charge tokens charged for a request to a plain service
 * @param regions regions in which it may run, empty for all
 */
public record RouteSettings(
        String route,
        String owner,
        boolean openToAll,
        String model,
        String service,
        boolean idempotent,
        long timeoutNanos,
        int priority,
        long charge,
        Set<String> regions) {
    /** Creates the settings. */
    public RouteSettings {
        regions = Set.copyOf(regions);
    }
}
