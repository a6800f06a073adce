package ebonygw.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Status that a model replica reports.
 *
 * @param instance instance id, empty if not reported
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch, 0 if not known
 * @param busy whether an order on a base model is in progress
 * @param orders number of orders accepted since its start
 * @param running number of running requests whose response has started
 * @param unstarted number of requests that wait or whose prompt is being prefilled
 * @param models version of each model that it holds
 * @param adapters version of each adapter that it holds, named MODEL/ADAPTER
 * @param loading adapters being loaded, named MODEL/ADAPTER
 */
public record TargetStatus(
        String instance,
        long startedAtMillis,
        boolean busy,
        long orders,
        int running,
        int unstarted,
        Map<String, Long> models,
        Map<String, Long> adapters,
        List<String> loading) {
    /** Creates a status. */
    public TargetStatus {
        Objects.requireNonNull(instance, "instance");
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        loading = List.copyOf(loading);
    }

    /** Returns a copy of this status with an instance id. */
    public TargetStatus withInstance(String newInstance) {
        return new TargetStatus(
                newInstance,
                startedAtMillis,
                busy,
                orders,
                running,
                unstarted,
                models,
                adapters,
                loading);
    }
}
