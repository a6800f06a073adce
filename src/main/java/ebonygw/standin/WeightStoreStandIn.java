package ebonygw.standin;

/**
 * The platform's weight store: loads start at a limited rate and take longer, in proportion, while
 * more than the full-speed number are in flight.
 *
 * <p>Shared by all engines of a fleet. Thread-safe.
 */
public final class WeightStoreStandIn {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long mNanosPerLoad;
    private final long mLoadNanos;
    private final int mFullSpeedInFlight;
    private long mNextStartNanos;
    private int mInFlight;
    private int mPeakInFlight;
    private long mStarted;

    /**
     * Creates a store.
     *
     * @param loadsPerSecond loads that may start each second, 0 for no limit
     * @param loadNanos time of a load at full speed, in nanoseconds
     * @param fullSpeedInFlight loads in flight that slow nothing down
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public WeightStoreStandIn(double loadsPerSecond, long loadNanos, int fullSpeedInFlight) {
        if (loadsPerSecond < 0 || loadNanos < 0 || fullSpeedInFlight < 1) {
            throw new IllegalArgumentException("bounds of the weight store must be positive");
        }
        mNanosPerLoad = loadsPerSecond == 0 ? 0 : (long) (NANOS_PER_SECOND / loadsPerSecond);
        mLoadNanos = loadNanos;
        mFullSpeedInFlight = fullSpeedInFlight;
    }

    /**
     * Starts a load.
     *
     * @param nowNanos present time, in nanoseconds
     * @return how long it takes from now until its end, in nanoseconds
     */
    public synchronized long begin(long nowNanos) {
        long start = Math.max(nowNanos, mNextStartNanos);
        mNextStartNanos = start + mNanosPerLoad;
        mInFlight++;
        mStarted++;
        mPeakInFlight = Math.max(mPeakInFlight, mInFlight);
        double slowdown = Math.max(1.0, (double) mInFlight / mFullSpeedInFlight);
        return start - nowNanos + (long) (mLoadNanos * slowdown);
    }

    /** Ends a load. */
    public synchronized void end() {
        mInFlight--;
    }

    /** Returns the most loads that were in flight at once. */
    public synchronized int peakInFlight() {
        return mPeakInFlight;
    }

    /** Returns how many loads were started. */
    public synchronized long started() {
        return mStarted;
    }
}
