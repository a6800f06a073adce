package ebonygw.settings;

import java.util.Set;

/**
 * Effective settings of a route.
 *
 * @param route its name
 * @param owner customer that owns it, empty if every customer with a key may use it
 * @param openToAll whether it runs without a key, for its owner
 * @param model base model that serves it, empty for a plain service
 * @param service plain service that serves it, empty for a model
 * @param idempotent whether its calls may be repeated
 * @param timeoutNanos time limit of a request
 * @param priority greater runs earlier within the customer
 * @param charge tokens charged for a call of a plain service
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
