package ebonygw.scheduling;

/**
 * Finds how many requests a target runs well together, from its reports and its latency.
 *
 * <p>The limit grows by one for each limit's worth of answers that came while it was in full use,
 * up to what the target says that it can hold. It shrinks when the target queues inside, and when
 * the time per token rises beyond a tolerance over the least one seen without the throughput rising
 * with it. Not thread-safe.
 */
final class ConcurrencyLimit {
    private static final double LATENCY_TOLERANCE = 2.5;
    private static final double SHRINK_FACTOR = 0.9;
    private static final double LEAST_RISES_BY = 1.001;
    private static final double SMOOTHING = 0.2;

    private final int mMaximum;
    private final int mInitial;
    private double mLimit;
    private int mHeld;
    private double mLeastNanosPerToken;
    private double mNanosPerToken;
    private int mAnswersSinceShrink;

    ConcurrencyLimit(int initial, int maximum) {
        mInitial = initial;
        mMaximum = maximum;
        mLimit = initial;
    }

    /** Returns the limit, at least 1. */
    int limit() {
        int most = mHeld > 0 ? Math.min(mHeld, mMaximum) : mMaximum;
        return Math.max(1, Math.min(most, (int) mLimit));
    }

    /** Returns the smoothed time per token, 0 if nothing was measured. */
    double nanosPerToken() {
        return mNanosPerToken;
    }

    /** Takes an answer into account. */
    void onAnswer(long tokens, long latencyNanos, int runningBefore) {
        if (tokens <= 0 || latencyNanos <= 0) {
            growIfFull(runningBefore);
            return;
        }
        double sample = (double) latencyNanos / tokens;
        mNanosPerToken =
                mNanosPerToken == 0
                        ? sample
                        : mNanosPerToken + SMOOTHING * (sample - mNanosPerToken);
        mLeastNanosPerToken =
                mLeastNanosPerToken == 0
                        ? mNanosPerToken
                        : Math.min(mLeastNanosPerToken * LEAST_RISES_BY, mNanosPerToken);
        mAnswersSinceShrink++;
        if (mNanosPerToken > mLeastNanosPerToken * LATENCY_TOLERANCE && mHeld == 0) {
            shrink();
        } else {
            growIfFull(runningBefore);
        }
    }

    /**
     * Takes a report into account.
     *
     * @param maxBatch most that the target runs together, 0 if it does not say
     * @param queuedInside how many requests wait inside the target
     */
    void onReport(int maxBatch, int queuedInside) {
        if (maxBatch > 0 && mHeld == 0) {
            mLimit = Math.max(mLimit, maxBatch);
        }
        mHeld = maxBatch;
        if (queuedInside > 0) {
            shrink();
        } else if (mHeld > 0) {
            mLimit = Math.min(mHeld, mLimit + Math.max(1, mHeld / 8.0));
        }
    }

    /** Starts anew, as after a restart of the target. */
    void reset() {
        mLimit = mInitial;
        mNanosPerToken = 0;
        mLeastNanosPerToken = 0;
    }

    private void growIfFull(int runningBefore) {
        if (runningBefore >= limit()) {
            mLimit = Math.min(mMaximum, mLimit + 1.0 / Math.max(1, mLimit));
        }
    }

    private void shrink() {
        if (mAnswersSinceShrink >= mLimit) {
            mLimit = Math.max(1, mLimit * SHRINK_FACTOR);
            mAnswersSinceShrink = 0;
        }
    }
}
