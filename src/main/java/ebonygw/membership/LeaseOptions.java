package ebonygw.membership;

import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link ProcessLease}.
 *
 * @param timeToLiveSeconds time to live of the lease, at least 3
 * @param maxDriftPpm most by which this clock runs slower or faster than the service's, in parts
 *     per million, 0 to 100,000
 * @param callTimeoutNanos after how long a call counts as failed, more than 0
 */
public record LeaseOptions(long timeToLiveSeconds, long maxDriftPpm, long callTimeoutNanos) {
    /** Renewals a second that the whole fleet may cost. */
    public static final int FLEET_RENEWALS_PER_SECOND = 100;

    private static final int RENEWALS_PER_LIFE = 3;
    private static final long MIN_TIME_TO_LIVE_SECONDS = 15;
    private static final long MAX_DRIFT_PPM = 1_000;
    private static final long CALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long MILLION = 1_000_000;

    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public LeaseOptions {
        if (timeToLiveSeconds < RENEWALS_PER_LIFE || callTimeoutNanos <= 0) {
            throw new IllegalArgumentException("a time is out of its bounds");
        }
        if (maxDriftPpm < 0 || maxDriftPpm > MILLION / 10) {
            throw new IllegalArgumentException("maxDriftPpm out of bounds: " + maxDriftPpm);
        }
    }

    /**
     * Returns options whose time to live grows with the fleet, so that all renewals together stay
     * at {@link #FLEET_RENEWALS_PER_SECOND}.
     *
     * @param processes processes of the fleet, at least 1
     * @throws IllegalArgumentException if {@code processes} is less than 1
     */
    public static LeaseOptions forFleetOf(int processes) {
        if (processes < 1) {
            throw new IllegalArgumentException("processes out of bounds: " + processes);
        }
        long seconds = (long) RENEWALS_PER_LIFE * processes / FLEET_RENEWALS_PER_SECOND;
        return new LeaseOptions(
                Math.max(MIN_TIME_TO_LIVE_SECONDS, seconds), MAX_DRIFT_PPM, CALL_TIMEOUT_NANOS);
    }

    /** Returns a time that has passed for certain on the service's clock, as seen by this clock. */
    long lengthened(long nanos) {
        return nanos + driftOf(nanos);
    }

    /** Returns the time between two renewals. */
    long renewalNanos() {
        return TimeUnit.SECONDS.toNanos(timeToLiveSeconds) / RENEWALS_PER_LIFE;
    }

    /** Returns a time that has not passed for certain on the service's clock. */
    long shortened(long nanos) {
        return nanos - driftOf(nanos);
    }

    private long driftOf(long nanos) {
        return nanos / MILLION * maxDriftPpm;
    }
}
