package ebonygw.request;

/** Whether a request, or one attempt of it, may have run at its target. */
public enum Verdict {
    /** No part of the request was or will be sent to the target. */
    NOT_RUN,
    /** The request was sent, but it is unknown whether it ran. */
    MAY_HAVE_RUN,
    /** The target responded to the request. */
    RAN
}
