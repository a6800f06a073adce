package ebonygw.membership;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Limits how often a process calls the key-value service.
 *
 * <p>A token bucket bounds the rate. After a failure the next call waits a time that doubles with
 * each failure, shortened at random by up to a half, so that the processes come back spread over
 * time when the service does. Not thread-safe.
 */
public final class ServiceBudget {
    /** Calls a second that the processes' own budgets together allow. */
    public static final double FLEET_CALLS_PER_SECOND = 300;

    /** Attempts a second of the whole fleet while the service does not answer. */
    public static final int FLEET_RETRIES_PER_SECOND = 50;

    private static final double MAX_CALLS_PER_SECOND = 10;
    private static final int BURST = 6;
    private static final long MIN_LONGEST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);
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

    /**
     * Returns a budget by which the whole fleet together stays at {@link #FLEET_CALLS_PER_SECOND}
     * in the long run, and at {@link #FLEET_RETRIES_PER_SECOND} when the service does not answer.
     *
     * @param processes processes of the fleet, at least 1
     * @param random source of jitter
     * @throws IllegalArgumentException if {@code processes} is less than 1
     */
    public static ServiceBudget forFleetOf(int processes, RandomGenerator random) {
        if (processes < 1) {
            throw new IllegalArgumentException("processes out of bounds: " + processes);
        }
        double callsPerSecond = Math.min(MAX_CALLS_PER_SECOND, FLEET_CALLS_PER_SECOND / processes);
        long backoffNanos = TimeUnit.SECONDS.toNanos(processes) / FLEET_RETRIES_PER_SECOND;
        return new ServiceBudget(
                callsPerSecond, BURST, Math.max(MIN_LONGEST_BACKOFF_NANOS, backoffNanos), random);
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
        long halfNanos = mBackoffNanos / 2;
        long waitNanos = halfNanos + mRandom.nextLong(halfNanos + 1);
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
