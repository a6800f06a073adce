package ebonygw.standin;

/**
 * Simulates the durations of adapter loads from the platform's weight store: loads start at a
 * limited rate, and above a maximum number in flight each load takes proportionally longer.
 *
 * <p>All engines of a fleet share one store. Thread-safe.
 */
public final class WeightStoreStandIn {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long mStartIntervalNanos;
    private final long mLoadNanos;
    private final int mMaxFullSpeedLoads;
    private long mNextStartNanos;
    private int mInFlight;
    private int mPeakInFlight;
    private long mStartedLoads;

    /**
     * Creates a store.
     *
     * @param loadsPerSecond maximum number of loads that start per second, 0 for no limit
     * @param loadNanos duration of a load at full speed, in nanoseconds
     * @param maxFullSpeedLoads maximum number of loads in flight at full speed, at least 1
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public WeightStoreStandIn(double loadsPerSecond, long loadNanos, int maxFullSpeedLoads) {
        if (loadsPerSecond < 0 || loadNanos < 0 || maxFullSpeedLoads < 1) {
            throw new IllegalArgumentException(
                    "loadsPerSecond and loadNanos must not be negative and maxFullSpeedLoads at"
                            + " least 1, but loadsPerSecond="
                            + loadsPerSecond
                            + ", loadNanos="
                            + loadNanos
                            + ", maxFullSpeedLoads="
                            + maxFullSpeedLoads);
        }
        mStartIntervalNanos = loadsPerSecond == 0 ? 0 : (long) (NANOS_PER_SECOND / loadsPerSecond);
        mLoadNanos = loadNanos;
        mMaxFullSpeedLoads = maxFullSpeedLoads;
    }

    /**
     * Begins a load.
     *
     * @param nowNanos current time, in nanoseconds
     * @return time from now until the load finishes, including its wait to start, in nanoseconds
     */
    public synchronized long beginLoad(long nowNanos) {
        long start = Math.max(nowNanos, mNextStartNanos);
        mNextStartNanos = start + mStartIntervalNanos;
        mInFlight++;
        mStartedLoads++;
        mPeakInFlight = Math.max(mPeakInFlight, mInFlight);
        double slowdown = Math.max(1.0, (double) mInFlight / mMaxFullSpeedLoads);
        return start - nowNanos + (long) (mLoadNanos * slowdown);
    }

    /** Ends a load that {@link #beginLoad} began. */
    public synchronized void endLoad() {
        mInFlight--;
    }

    /** Returns the maximum number of loads that were in flight at once. */
    public synchronized int peakInFlight() {
        return mPeakInFlight;
    }

    /** Returns how many loads have begun. */
    public synchronized long startedLoads() {
        return mStartedLoads;
    }
}
