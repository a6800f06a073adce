package ebonygw.scheduling;

/**
 * Adaptive limit of the requests that a target runs concurrently, from its reports and latency.
 *
 * <p>The limit increases by one for each limit's worth of responses received while it was fully
 * used. If the target reports a maximum batch, the limit is at most that and approaches it with
 * each report. It decreases when requests queue inside the target. If the target reports no maximum
 * batch, it also decreases when the time per token exceeds a multiple of the minimum observed. Not
 * thread-safe.
 */
final class ConcurrencyLimit {
    /** Maximum time per token, as a multiple of the baseline, before the limit decreases. */
    private static final double LATENCY_TOLERANCE = 2.5;

    private static final double DECREASE_FACTOR = 0.9;

    /** Growth of the baseline per response, so that an outdated minimum expires. */
    private static final double BASELINE_GROWTH = 1.001;

    private static final double SMOOTHING = 0.2;

    private final int mMax;
    private final int mInitial;
    private double mLimit;
    private int mReportedMaxBatch;

    /** Slowly rising minimum of the smoothed time per token, 0 if nothing was measured. */
    private double mBaselineNanosPerToken;

    private double mNanosPerToken;
    private int mResponsesSinceDecrease;

    ConcurrencyLimit(int initial, int maximum) {
        mInitial = initial;
        mMax = maximum;
        mLimit = initial;
    }

    /** Returns the limit, at least 1. */
    int limit() {
        int max = mReportedMaxBatch > 0 ? Math.min(mReportedMaxBatch, mMax) : mMax;
        return Math.max(1, Math.min(max, (int) mLimit));
    }

    /** Returns the smoothed time per token, 0 if nothing was measured. */
    double nanosPerToken() {
        return mNanosPerToken;
    }

    /**
     * Applies a response.
     *
     * @param tokens tokens used; if not positive, the time per token is not updated
     * @param latencyNanos time from start to end; if not positive, the same
     * @param runningBefore requests that were running when the response ended, including its own
     */
    void onResponse(long tokens, long latencyNanos, int runningBefore) {
        if (tokens <= 0 || latencyNanos <= 0) {
            increaseIfSaturated(runningBefore);
            return;
        }
        double sample = (double) latencyNanos / tokens;
        mNanosPerToken =
                mNanosPerToken == 0
                        ? sample
                        : mNanosPerToken + SMOOTHING * (sample - mNanosPerToken);
        mBaselineNanosPerToken =
                mBaselineNanosPerToken == 0
                        ? mNanosPerToken
                        : Math.min(mBaselineNanosPerToken * BASELINE_GROWTH, mNanosPerToken);
        mResponsesSinceDecrease++;
        if (mNanosPerToken > mBaselineNanosPerToken * LATENCY_TOLERANCE && mReportedMaxBatch == 0) {
            decrease();
        } else {
            increaseIfSaturated(runningBefore);
        }
    }

    /**
     * Applies a report.
     *
     * @param maxBatch maximum number of requests that the target runs together, 0 if it does not
     *     report it
     * @param queuedInside requests queued inside the target
     */
    void onReport(int maxBatch, int queuedInside) {
        if (maxBatch > 0 && mReportedMaxBatch == 0) {
            mLimit = Math.max(mLimit, maxBatch);
        }
        mReportedMaxBatch = maxBatch;
        if (queuedInside > 0) {
            decrease();
        } else if (mReportedMaxBatch > 0) {
            mLimit = Math.min(mReportedMaxBatch, mLimit + Math.max(1, mReportedMaxBatch / 8.0));
        }
    }

    /** Resets to the initial limit, as after a restart of the target. */
    void reset() {
        mLimit = mInitial;
        mNanosPerToken = 0;
        mBaselineNanosPerToken = 0;
    }

    private void decrease() {
        if (mResponsesSinceDecrease >= mLimit) {
            mLimit = Math.max(1, mLimit * DECREASE_FACTOR);
            mResponsesSinceDecrease = 0;
        }
    }

    private void increaseIfSaturated(int runningBefore) {
        if (runningBefore >= limit()) {
            mLimit = Math.min(mMax, mLimit + 1.0 / Math.max(1, mLimit));
        }
    }
}
