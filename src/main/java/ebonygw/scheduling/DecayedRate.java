package ebonygw.scheduling;

/**
 * Estimates how often something happens, with older events counting exponentially less.
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
     * @param halfLifeNanos after how long an event counts half
     * @throws IllegalArgumentException if {@code halfLifeNanos} is not positive
     */
    public DecayedRate(long halfLifeNanos) {
        if (halfLifeNanos <= 0) {
            throw new IllegalArgumentException("halfLifeNanos must be positive");
        }
        mTimeConstantNanos = halfLifeNanos / Math.log(2);
    }

    /** Counts an event; a time before the last one counts as the last one. */
    public void add(double amount, long nowNanos) {
        mCount = decayed(nowNanos) + amount;
        mUpdatedNanos = Math.max(mUpdatedNanos, nowNanos);
    }

    /** Returns the decayed number of events. */
    public double count(long nowNanos) {
        return decayed(nowNanos);
    }

    /** Returns the estimate in events a second. */
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
