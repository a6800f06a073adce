package ebonygw.membership;

/** The phases of a planned stop, in order. */
public enum StopPhase {
    /** No stop was requested. */
    SERVING,
    /** The stop is announced and the process reports not ready; new work is still accepted. */
    ANNOUNCED,
    /** New work is refused with verdict "not run"; running requests may end. */
    FINISHING,
    /** Finishing is over; shares and shard ownership are handed over to other processes. */
    HANDING_OVER,
    /** The lease is revoked and the graceful leave is announced to peers. */
    RELEASING,
    /** The process may exit. */
    DONE
}
