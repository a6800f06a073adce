package ebonygw.gateway;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Times at which refused callers of a customer are told to return: one after the other at the rate
 * at which this entry's share of the quota refills. Not thread-safe.
 */
final class ReturnSchedule {
    /** Minimum delay: shorter than this, the refill is not known to other entries. */
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Maximum delay: a third of the shortest deadline of a kind that uses models, 4.06 s. */
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** Fraction by which a delay is spread to both sides. */
    private static final double SPREAD = 0.25;

    private final SplittableRandom mRandom;
    private long mLastReturnNanos = Long.MIN_VALUE;

    ReturnSchedule(SplittableRandom random) {
        mRandom = random;
    }

    /**
     * Returns the delay for a refused request, after those told to return before it.
     *
     * @param refillNanos time after which the quota has tokens again, not negative
     * @param serviceNanos time in which this entry's share of the refill covers the request
     */
    long delayNanos(double refillNanos, double serviceNanos, long nowNanos) {
        long earliest = nowNanos + (long) Math.min(MAX_DELAY_NANOS, refillNanos);
        long start = Math.max(mLastReturnNanos, earliest);
        long end = start + (long) Math.min(MAX_DELAY_NANOS, serviceNanos);
        long delay = end - nowNanos;
        if (delay >= MAX_DELAY_NANOS) {
            // More callers have been told to return than the quota admits by then: any order.
            mLastReturnNanos = nowNanos + MAX_DELAY_NANOS;
            return MAX_DELAY_NANOS / 2 + mRandom.nextLong(MAX_DELAY_NANOS / 2);
        }
        mLastReturnNanos = end;
        double factor = 1 + SPREAD * (2 * mRandom.nextDouble() - 1);
        return Math.max(MIN_DELAY_NANOS, (long) (delay * factor));
    }
}
