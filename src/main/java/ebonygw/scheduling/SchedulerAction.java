package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.Work;

/** An action that a {@link TargetScheduler} requests from its caller. */
public sealed interface SchedulerAction {
    /**
     * Orders the engine to unload an adapter version that no work uses.
     *
     * @param adapter the adapter version
     */
    record Evict(AdapterVersion adapter) implements SchedulerAction {}

    /**
     * Orders the engine to load an adapter version; the load budget has been charged.
     *
     * @param adapter the adapter version
     */
    record Load(AdapterVersion adapter) implements SchedulerAction {}

    /**
     * Refuses queued work that was never sent to the target.
     *
     * @param work the work
     * @param refusal the reason; its verdict is {@code NOT_RUN}
     */
    record Refuse(Work work, Refusal refusal) implements SchedulerAction {}

    /**
     * Sends work to the target; its adapter version is resident.
     *
     * @param work the work
     */
    record Start(Work work) implements SchedulerAction {}
}
