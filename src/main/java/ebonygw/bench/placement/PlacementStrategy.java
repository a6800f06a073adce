package ebonygw.bench.placement;

/** Decides where and when the requests of a run run. */
interface PlacementStrategy {
    /** Takes a request that reached the entry of its region. */
    void onArrival(Request request);

    /** Takes note that an engine has restarted. */
    default void onRestart(int target) {}

    /** Takes note that a target leaves, or that it is back. */
    default void onLeaving(int target, boolean leaving) {}

    /** Starts what runs without requests, such as reports. */
    default void start() {}
}
