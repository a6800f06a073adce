package ebonygw.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Report of a model replica on itself.
 *
 * @param instance its instance, empty if the report does not say
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch, 0 if not known
 * @param busy whether an order on a base model is in progress
 * @param orders number of orders accepted since its start
 * @param running requests that run and have begun to answer
 * @param unstarted requests that wait, or whose prompts are still read
 * @param models version of each model that it holds
 * @param adapters version of each adapter that it holds, named MODEL/ADAPTER
 * @param loading adapters on their way, named MODEL/ADAPTER
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

    /** Returns the same status of a known instance. */
    public TargetStatus withInstance(String known) {
        return new TargetStatus(
                known,
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
