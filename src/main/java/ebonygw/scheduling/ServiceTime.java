package ebonygw.scheduling;

/** Estimates how long work takes, from the responses so far. Not thread-safe. */
final class ServiceTime {
    private static final double SMOOTHING = 0.05;

    /**
     * Factor applied to the estimate, below 1, so that only work that clearly cannot meet its
     * deadline is refused.
     */
    private static final double SAFETY_FACTOR = 0.5;

    /**
     * Maximum number of tokens that the estimate assumes for work, as a multiple of the largest
     * response.
     */
    private static final double MAX_EXTRAPOLATION = 4;

    private double mNanosPerToken;
    private long mLargestUsed;
    private double mUsedPerChargedToken = 1;

    /**
     * Returns a cautious estimate of the minimum time until work ends, 0 if nothing was measured.
     *
     * @param charge tokens charged for the work
     * @param ahead tokens charged for the work that runs before it
     * @param share fraction of the target's capacity that serves that work, above 0 and at most 1
     * @param concurrency work items that run concurrently, at least 1
     */
    long minNanos(long charge, long ahead, double share, int concurrency) {
        double tokens = Math.min(charge * mUsedPerChargedToken, MAX_EXTRAPOLATION * mLargestUsed);
        double own = tokens * mNanosPerToken;
        double wait = ahead * mUsedPerChargedToken * mNanosPerToken / (share * concurrency);
        return (long) (SAFETY_FACTOR * (own + wait));
    }

    /** Applies a response; ignored if {@code charge} or {@code used} is not positive. */
    void onResponse(long charge, long used, long latencyNanos) {
        if (charge <= 0 || used <= 0) {
            return;
        }
        mLargestUsed = Math.max(mLargestUsed, used);
        double sample = (double) latencyNanos / used;
        mNanosPerToken =
                mNanosPerToken == 0
                        ? sample
                        : mNanosPerToken + SMOOTHING * (sample - mNanosPerToken);
        mUsedPerChargedToken += SMOOTHING * ((double) used / charge - mUsedPerChargedToken);
    }
}
