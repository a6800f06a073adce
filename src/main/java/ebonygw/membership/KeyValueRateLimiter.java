package ebonygw.membership;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Limits the rate at which a process sends requests to the key-value service.
 *
 * <p>A token bucket bounds the rate. After a failure, the next request waits for an exponential
 * backoff, shortened at random by up to half, so that the requests of all processes are spread over
 * time when the service recovers from an outage. Not thread-safe.
 */
public final class KeyValueRateLimiter {
    /** Maximum sustained rate of requests of all processes of the fleet together. */
    public static final double FLEET_REQUESTS_PER_SECOND = 300;

    /** Approximate rate of retries of the whole fleet while the service does not respond. */
    public static final int FLEET_RETRIES_PER_SECOND = 50;

    private static final double MAX_REQUESTS_PER_SECOND = 10;
    private static final int BURST = 6;
    private static final long MIN_MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final double mRequestsPerSecond;
    private final double mBurst;
    private final long mMaxBackoffNanos;
    private final RandomGenerator mRandom;
    private double mTokens;
    private long mRefilledNanos;
    private long mBackoffNanos;
    private long mNotBeforeNanos = Long.MIN_VALUE;

    /**
     * Creates a limiter whose token bucket is full.
     *
     * @param requestsPerSecond sustained rate, more than 0
     * @param burst size of the token bucket, at least 1
     * @param maxBackoffNanos maximum backoff after a failure, more than 0
     * @param random source of jitter
     * @throws NullPointerException if {@code random} is null
     * @throws IllegalArgumentException if a number is out of bounds
     */
    public KeyValueRateLimiter(
            double requestsPerSecond, int burst, long maxBackoffNanos, RandomGenerator random) {
        if (!(requestsPerSecond > 0) || burst < 1 || maxBackoffNanos <= 0) {
            throw new IllegalArgumentException(
                    "requestsPerSecond, burst or maxBackoffNanos is not positive: "
                            + requestsPerSecond
                            + ", "
                            + burst
                            + ", "
                            + maxBackoffNanos);
        }
        mRequestsPerSecond = requestsPerSecond;
        mBurst = burst;
        mMaxBackoffNanos = maxBackoffNanos;
        mRandom = Objects.requireNonNull(random, "random");
        mTokens = burst;
        mRefilledNanos = Long.MIN_VALUE;
    }

    /**
     * Returns a limiter by which all processes of the fleet together send at most {@link
     * #FLEET_REQUESTS_PER_SECOND} in the long run, and about {@link #FLEET_RETRIES_PER_SECOND}
     * while the service does not respond.
     *
     * @param processes number of processes in the fleet, at least 1
     * @param random source of jitter
     * @throws IllegalArgumentException if {@code processes} is less than 1
     */
    public static KeyValueRateLimiter forFleetOf(int processes, RandomGenerator random) {
        if (processes < 1) {
            throw new IllegalArgumentException("processes is less than 1: " + processes);
        }
        double requestsPerSecond =
                Math.min(MAX_REQUESTS_PER_SECOND, FLEET_REQUESTS_PER_SECOND / processes);
        long backoffNanos = TimeUnit.SECONDS.toNanos(processes) / FLEET_RETRIES_PER_SECOND;
        return new KeyValueRateLimiter(
                requestsPerSecond, BURST, Math.max(MIN_MAX_BACKOFF_NANOS, backoffNanos), random);
    }

    /** Records a request that failed or timed out, and extends the backoff. */
    public void onFailure(long nowNanos) {
        mBackoffNanos =
                mBackoffNanos == 0
                        ? Math.min(INITIAL_BACKOFF_NANOS, mMaxBackoffNanos)
                        : Math.min(2 * mBackoffNanos, mMaxBackoffNanos);
        long halfNanos = mBackoffNanos / 2;
        long waitNanos = halfNanos + mRandom.nextLong(halfNanos + 1);
        mNotBeforeNanos = Math.max(mNotBeforeNanos, nowNanos + waitNanos);
    }

    /** Records that the service responded, and resets the backoff. */
    public void onResponse() {
        mBackoffNanos = 0;
        mNotBeforeNanos = Long.MIN_VALUE;
    }

    /** Returns whether a request may be sent now; if so, takes a token for it. */
    public boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (nowNanos < mNotBeforeNanos || mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    private void refill(long nowNanos) {
        if (mRefilledNanos == Long.MIN_VALUE) {
            mRefilledNanos = nowNanos;
        }
        long elapsedNanos = Math.max(0, nowNanos - mRefilledNanos);
        double refilled = mRequestsPerSecond * elapsedNanos / TimeUnit.SECONDS.toNanos(1);
        mTokens = Math.min(mBurst, mTokens + refilled);
        mRefilledNanos = Math.max(mRefilledNanos, nowNanos);
    }
}
