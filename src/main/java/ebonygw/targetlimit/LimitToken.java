package ebonygw.targetlimit;

/** Token that was withdrawn for a request to a limited target. */
@FunctionalInterface
public interface LimitToken {
    /** A request to a target that is not limited. */
    LimitToken NONE = (arrived, nowNanos) -> {};

    /**
     * Returns the token, because the request did not reach the target or does not count. Ignored
     * long after the withdrawal, see {@link LimitedTarget#MAX_DELAY_NANOS}, and for a request that
     * counts although it was not run.
     *
     * @param arrived whether the request has reached the target, which has not run it
     */
    void giveBack(boolean arrived, long nowNanos);
}
