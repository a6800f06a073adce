package ebonygw.retry;

/**
 * Retry budget: first attempts deposit fractions of a retry, and each retry withdraws one. The
 * balance also grows at a minimum rate over time, up to a maximum. Not thread-safe.
 */
public final class RetryBudget {
    private RetryOptions mOptions;
    private double mBalance;
    private long mUpdatedNanos;

    /**
     * Creates a budget with the maximum balance.
     *
     * @param options its bounds
     * @param nowNanos the current time
     */
    public RetryBudget(RetryOptions options, long nowNanos) {
        this(options, options.maxBalance(), nowNanos);
    }

    private RetryBudget(RetryOptions options, double balance, long nowNanos) {
        mOptions = options;
        mBalance = balance;
        mUpdatedNanos = nowNanos;
    }

    /** Returns a budget without a balance. */
    public static RetryBudget empty(RetryOptions options, long nowNanos) {
        return new RetryBudget(options, 0, nowNanos);
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

    /** Returns a budget with the same bounds and balance. */
    public RetryBudget copy(long nowNanos) {
        refill(nowNanos);
        return new RetryBudget(mOptions, mBalance, nowNanos);
    }

    /** Deposits {@code percent} percent of a retry for a first attempt. */
    public void deposit(int percent, long nowNanos) {
        refill(nowNanos);
        mBalance = Math.min(mOptions.maxBalance(), mBalance + percent / 100.0);
    }

    /** Applies other bounds from now on; they never add to the balance. */
    public void setOptions(RetryOptions options, long nowNanos) {
        refill(nowNanos);
        mOptions = options;
        mBalance = Math.min(options.maxBalance(), mBalance);
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
