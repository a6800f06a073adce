package ebonygw.membership;

/** What a process does. */
public enum Role {
    /** Takes callers' requests. */
    ENTRY,
    /** Stands beside one target and is the only way to it. */
    TARGET
}
