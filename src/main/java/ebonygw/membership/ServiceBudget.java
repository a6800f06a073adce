package ebonygw.membership;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Limits how often a process calls the key-value service.
 *
 * <p>A token bucket bounds the rate. After a failure the next call waits a random part of a time
 * that doubles with each failure, so that the processes come back spread over time when the service
 * does. Not thread-safe.
 */
public final class ServiceBudget {
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final double mCallsPerSecond;
    private final double mBurst;
    private final long mMaxBackoffNanos;
    private final RandomGenerator mRandom;
    private double mTokens;
    private long mFilledNanos;
    private long mBackoffNanos;
    private long mNotBeforeNanos = Long.MIN_VALUE;

    /**
     * Creates a budget that allows its burst at once.
     *
     * @param callsPerSecond calls a second in the long run, more than 0
     * @param burst most calls at once, at least 1
     * @param maxBackoffNanos longest wait after a failure, more than 0
     * @param random source of jitter
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public ServiceBudget(
            double callsPerSecond, int burst, long maxBackoffNanos, RandomGenerator random) {
        if (!(callsPerSecond > 0) || burst < 1 || maxBackoffNanos <= 0) {
            throw new IllegalArgumentException("a limit is out of its bounds");
        }
        mCallsPerSecond = callsPerSecond;
        mBurst = burst;
        mMaxBackoffNanos = maxBackoffNanos;
        mRandom = Objects.requireNonNull(random, "random");
        mTokens = burst;
        mFilledNanos = Long.MIN_VALUE;
    }

    /** Notes that a call was answered; ends the waits after failures. */
    public void answered() {
        mBackoffNanos = 0;
        mNotBeforeNanos = Long.MIN_VALUE;
    }

    /** Notes that a call failed or got no answer in time. */
    public void failed(long nowNanos) {
        mBackoffNanos =
                mBackoffNanos == 0
                        ? Math.min(FIRST_BACKOFF_NANOS, mMaxBackoffNanos)
                        : Math.min(2 * mBackoffNanos, mMaxBackoffNanos);
        long waitNanos = 1 + mRandom.nextLong(mBackoffNanos);
        mNotBeforeNanos = Math.max(mNotBeforeNanos, nowNanos + waitNanos);
    }

    /** Returns whether a call may be made now, and counts it if so. */
    public boolean tryCall(long nowNanos) {
        refill(nowNanos);
        if (nowNanos < mNotBeforeNanos || mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    private void refill(long nowNanos) {
        if (mFilledNanos == Long.MIN_VALUE) {
            mFilledNanos = nowNanos;
        }
        long elapsedNanos = Math.max(0, nowNanos - mFilledNanos);
        double gained = mCallsPerSecond * elapsedNanos / TimeUnit.SECONDS.toNanos(1);
        mTokens = Math.min(mBurst, mTokens + gained);
        mFilledNanos = Math.max(mFilledNanos, nowNanos);
    }
}
