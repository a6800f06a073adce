package ebonygw.scheduling;

/**
 * Estimates the rate of an event, weighting older events exponentially less.
 *
 * <p>Not thread-safe.
 */
public final class DecayedRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTimeConstantNanos;
    private double mCount;
    private long mUpdatedNanos;

    /**
     * Creates an estimate of zero.
     *
     * @param halfLifeNanos time after which an event counts half, positive
     * @throws IllegalArgumentException if {@code halfLifeNanos} is not positive
     */
    public DecayedRate(long halfLifeNanos) {
        if (halfLifeNanos <= 0) {
            throw new IllegalArgumentException("halfLifeNanos must be positive: " + halfLifeNanos);
        }
        mTimeConstantNanos = halfLifeNanos / Math.log(2);
    }

    /** Adds events; a time before that of the last addition counts as that time. */
    public void add(double amount, long nowNanos) {
        mCount = decayed(nowNanos) + amount;
        mUpdatedNanos = Math.max(mUpdatedNanos, nowNanos);
    }

    /** Returns the decayed count of events. */
    public double count(long nowNanos) {
        return decayed(nowNanos);
    }

    /** Returns the estimated rate in events per second. */
    public double perSecond(long nowNanos) {
        return decayed(nowNanos) / mTimeConstantNanos * NANOS_PER_SECOND;
    }

    private double decayed(long nowNanos) {
        if (mCount == 0 || nowNanos <= mUpdatedNanos) {
            return mCount;
        }
        return mCount * Math.exp((mUpdatedNanos - nowNanos) / mTimeConstantNanos);
    }
}
