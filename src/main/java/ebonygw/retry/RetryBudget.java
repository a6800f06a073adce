package ebonygw.retry;

/** Retries that requests earn and retries spend. Not thread-safe. */
final class RetryBudget {
    private final RetryOptions mOptions;
    private double mSaved;
    private long mUpdatedNanos;

    RetryBudget(RetryOptions options, long nowNanos) {
        mOptions = options;
        mSaved = options.maxSaved();
        mUpdatedNanos = nowNanos;
    }

    boolean hasRoom(long nowNanos) {
        refill(nowNanos);
        return mSaved >= 1;
    }

    void onRequest(int percent, long nowNanos) {
        refill(nowNanos);
        mSaved = Math.min(mOptions.maxSaved(), mSaved + percent / 100.0);
    }

    void spend() {
        mSaved -= 1;
    }

    private void refill(long nowNanos) {
        if (nowNanos > mUpdatedNanos) {
            double earned = (nowNanos - mUpdatedNanos) / 1e9 * mOptions.leastPerSecond();
            mSaved = Math.min(mOptions.maxSaved(), mSaved + earned);
            mUpdatedNanos = nowNanos;
        }
    }
}
