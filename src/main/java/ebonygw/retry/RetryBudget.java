package ebonygw.retry;

/**
 * Retry budget: first attempts deposit fractions of a retry, and each retry withdraws one. The
 * balance also grows at a minimum rate over time, up to a maximum. Not thread-safe.
 */
public final class RetryBudget {
    private final RetryOptions mOptions;
    private double mBalance;
    private long mUpdatedNanos;

    /**
     * Creates a budget with the maximum balance.
     *
     * @param options its bounds
     * @param nowNanos the current time
     */
    public RetryBudget(RetryOptions options, long nowNanos) {
        mOptions = options;
        mBalance = options.maxBalance();
        mUpdatedNanos = nowNanos;
    }

    /** Returns the balance as of the last change, in retries. */
    public double balance() {
        return mBalance;
    }

    /** Returns whether the balance allows a retry now. */
    public boolean canWithdraw(long nowNanos) {
        refill(nowNanos);
        return mBalance >= 1;
    }

    /** Deposits {@code percent} percent of a retry for a first attempt. */
    public void deposit(int percent, long nowNanos) {
        refill(nowNanos);
        mBalance = Math.min(mOptions.maxBalance(), mBalance + percent / 100.0);
    }

    /** Withdraws one retry; the caller has checked {@link #canWithdraw}. */
    public void withdraw() {
        mBalance -= 1;
    }

    private void refill(long nowNanos) {
        if (nowNanos > mUpdatedNanos) {
            double deposit = (nowNanos - mUpdatedNanos) / 1e9 * mOptions.minRetriesPerSecond();
            mBalance = Math.min(mOptions.maxBalance(), mBalance + deposit);
            mUpdatedNanos = nowNanos;
        }
    }
}
