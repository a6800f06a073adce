package ebonygw.bench.placement;

/** Decides at which target and when each request of a simulation runs, and what is loaded. */
interface PlacementStrategy {
    /** Accepts a request that has arrived at the entry of its region. */
    void onArrival(Request request);

    /** Called when the engine of a target has restarted. */
    default void onRestart(int target) {}

    /**
     * Called when a target starts a graceful leave or is back from it.
     *
     * @param leaving true if the target leaves, false if it is back
     */
    default void onLeaving(int target, boolean leaving) {}

    /** Starts periodic activities, such as reports, before the first arrival. */
    default void start() {}
}
