package ebonygw.scheduling;

/** Estimates how long work takes, from the answers so far. Not thread-safe. */
final class ServiceTime {
    private static final double SMOOTHING = 0.05;
    private static final double OPTIMISM = 0.5;

    /** How many times the tokens of the largest answer so far the estimate reaches at most. */
    private static final double REACH = 4;

    private double mNanosPerToken;
    private long mLargestUsed;
    private double mUsedOfCharge = 1;

    /**
     * Returns a time that work takes at least, in all likelihood, 0 if nothing was measured.
     *
     * @param charge tokens charged for it
     * @param ahead tokens charged for work that goes before it
     * @param share part of the target that serves this queue, 0 to 1
     * @param concurrency works that run together
     */
    long leastNanos(long charge, long ahead, double share, int concurrency) {
        double known = Math.min(charge * mUsedOfCharge, REACH * mLargestUsed);
        double own = known * mNanosPerToken;
        double wait = ahead * mUsedOfCharge * mNanosPerToken / (share * concurrency);
        return (long) (OPTIMISM * (own + wait));
    }

    void onAnswer(long charge, long used, long latencyNanos) {
        if (charge <= 0 || used <= 0) {
            return;
        }
        mLargestUsed = Math.max(mLargestUsed, used);
        double sample = (double) latencyNanos / used;
        mNanosPerToken =
                mNanosPerToken == 0
                        ? sample
                        : mNanosPerToken + SMOOTHING * (sample - mNanosPerToken);
        mUsedOfCharge += SMOOTHING * ((double) used / charge - mUsedOfCharge);
    }
}
