package ebonygw.request;

/** Says whether a request, or one attempt of it, may have run at its target. */
public enum Verdict {
    /** Nothing of the request was ever sent to the target, and nothing will be. */
    NOT_RUN,
    /** The request was sent, and it is not known whether it ran. */
    MAY_HAVE_RUN,
    /** The target answered the request. */
    RAN
}
