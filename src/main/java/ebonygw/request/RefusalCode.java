package ebonygw.request;

/** Stable codes of refusals and failures, with the HTTP status sent to callers. */
public enum RefusalCode {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The key is missing, unknown or expired. */
    UNAUTHENTICATED(401),
    /** The key's customer may not use the route or adapter. */
    FORBIDDEN(403),
    /** No such route, adapter or version. */
    NOT_FOUND(404),
    /** The deadline passed, or cannot be met. */
    DEADLINE(408),
    /** The body or the headers exceed their limits. */
    TOO_LARGE(413),
    /** The charge of this request alone exceeds the customer's burst. */
    EXCEEDS_BURST(413),
    /** The customer exceeds its rate. */
    OVER_RATE(429),
    /** The target sent an invalid response. */
    BAD_ANSWER(502),
    /** The response was cut off after its start. */
    BROKEN_ANSWER(502),
    /** The connection to the target or to its process was lost after the request was sent. */
    LOST(502),
    /** The deadline passed after the request was sent to the target. */
    TIMEOUT(504),
    /** The queue is full. */
    OVERLOADED(503),
    /** No target can accept the request now. */
    UNAVAILABLE(503),
    /** Targets have crashed under a part of the prompt; it is not sent to any for a while. */
    CRASHING_PROMPT(503),
    /** The process is stopping. */
    STOPPING(503),
    /** The process has not received its settings yet, or cannot tell whether they are current. */
    NOT_READY(503),
    /** The adapter could not be loaded. */
    LOAD_FAILED(503),
    /** The caller cancelled the request or disconnected. */
    CANCELLED(499);

    private final int mStatus;

    RefusalCode(int status) {
        mStatus = status;
    }

    /** Returns the code for a request that may have run, whose status does not deny that. */
    public RefusalCode ofPossibleRun() {
        if (!Verdict.isNotRunStatus(mStatus)) {
            return this;
        }
        return this == DEADLINE ? TIMEOUT : LOST;
    }

    /** Returns the HTTP status sent to callers. */
    public int status() {
        return mStatus;
    }
}
