package ebonygw.spillover;

/**
 * What an entry knows of a data centre for one request.
 *
 * @param completionNanos expected time at its best target that can run the request now, without the
 *     network; {@link Long#MAX_VALUE} if there is none
 * @param full whether all of these targets have as many requests as slots
 * @param fresh whether any of them has reported its load recently
 */
public record Side(long completionNanos, boolean full, boolean fresh) {
    /** A data centre without a target that can run the request now. */
    public static final Side NONE = new Side(Long.MAX_VALUE, true, false);

    /** Returns whether a target can run the request now. */
    public boolean canRun() {
        return completionNanos != Long.MAX_VALUE;
    }
}
