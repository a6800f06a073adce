package ebonygw.gateway;

/** What may be repeated of a route's requests, and how they are answered. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; may run at most once unless it can be resumed. */
    STREAMING
}
