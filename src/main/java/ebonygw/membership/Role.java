package ebonygw.membership;

/** The role of a process. */
public enum Role {
    /** Accepts requests from callers and forwards them to target processes. */
    ENTRY,
    /** Runs beside one target; all requests to that target go through it. */
    TARGET
}
