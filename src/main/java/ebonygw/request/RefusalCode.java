package ebonygw.request;

/** Stable codes of refusals and failures, with the HTTP status that callers get. */
public enum RefusalCode {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** No key, or one that is not valid now. */
    UNAUTHENTICATED(401),
    /** The key's customer may not use the route or adapter. */
    FORBIDDEN(403),
    /** No such route, adapter or version. */
    NOT_FOUND(404),
    /** The deadline passed, or cannot be met. */
    DEADLINE(408),
    /** The body or the headers exceed their limits. */
    TOO_LARGE(413),
    /** The request alone costs more than the customer's burst. */
    EXCEEDS_BURST(413),
    /** The customer is over its rate. */
    OVER_RATE(429),
    /** The target answered with something that is not an answer. */
    BAD_ANSWER(502),
    /** The answer broke off after its start. */
    BROKEN_ANSWER(502),
    /** The connection to the target or its process was lost after the request was sent. */
    LOST(502),
    /** The time of a request that was sent is up. */
    TIMEOUT(504),
    /** The queue is full. */
    OVERLOADED(503),
    /** No target can take the request now. */
    UNAVAILABLE(503),
    /** The process is stopping. */
    STOPPING(503),
    /** The process has no settings yet. */
    NOT_READY(503),
    /** The adapter could not be loaded. */
    LOAD_FAILED(503),
    /** The caller left. */
    CANCELLED(499);

    private final int mStatus;

    RefusalCode(int status) {
        mStatus = status;
    }

    /** Returns the HTTP status for callers. */
    public int status() {
        return mStatus;
    }
}
