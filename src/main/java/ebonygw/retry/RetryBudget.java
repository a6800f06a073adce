package ebonygw.retry;

/** Retries that requests earn and retries spend. Not thread-safe. */
public final class RetryBudget {
    private final RetryOptions mOptions;
    private double mSaved;
    private long mUpdatedNanos;

    /**
     * Creates a budget that allows its whole saving at once.
     *
     * @param options its bounds
     * @param nowNanos the present time
     */
    public RetryBudget(RetryOptions options, long nowNanos) {
        mOptions = options;
        mSaved = options.maxSaved();
        mUpdatedNanos = nowNanos;
    }

    /** Returns whether a retry may be paid now. */
    public boolean hasRoom(long nowNanos) {
        refill(nowNanos);
        return mSaved >= 1;
    }

    /** Earns part of a retry, given in hundredths, for a first attempt. */
    public void onRequest(int percent, long nowNanos) {
        refill(nowNanos);
        mSaved = Math.min(mOptions.maxSaved(), mSaved + percent / 100.0);
    }

    /** Pays for a retry. */
    public void spend() {
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
