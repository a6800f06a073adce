package ebonygw.gateway;

/** Whether the requests of a route may run repeatedly, and how responses are sent. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; may run at most once unless it can be resumed. */
    STREAMING
}
