package ebonygw.warmup;

/** Token that was withdrawn for a request to a cold target. */
@FunctionalInterface
public interface ColdToken {
    /** A request to a target that is not cold. */
    ColdToken NONE = nowNanos -> {};

    /**
     * Returns the token, because the request did not reach the target or does not count. Ignored
     * long after the withdrawal, see {@link ColdTarget#MAX_RETURN_NANOS}.
     */
    void giveBack(long nowNanos);
}
