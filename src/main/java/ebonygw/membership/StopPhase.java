package ebonygw.membership;

/** The phases of a planned stop, in order. */
public enum StopPhase {
    /** No stop was asked for. */
    SERVING,
    /** The stop is announced and the process is not ready; new work is still taken. */
    ANNOUNCED,
    /** New work is refused as not run; what runs goes on to its end. */
    FINISHING,
    /** Nothing runs; shares and ownership go to others. */
    HANDING_OVER,
    /** The lease is given back and peers are told the end. */
    RELEASING,
    /** The process may exit. */
    DONE
}
