package ebonygw.request;

import java.util.Set;

/** Whether a request, or one attempt of it, may have run at its target. */
public enum Verdict {
    /** No part of the request was or will be sent to the target. */
    NOT_RUN,
    /** The request was sent, but it is unknown whether it ran. */
    MAY_HAVE_RUN,
    /** The target responded to the request. */
    RAN;

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Returns whether callers take an HTTP status for the statement that a request has not run. */
    public static boolean isNotRunStatus(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }
}
