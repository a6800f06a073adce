package ebonygw.membership;

import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link ProcessLease}.
 *
 * @param timeToLiveSeconds time to live of the lease, at least 3
 * @param maxDriftPpm maximum rate difference between the clocks of this process and the key-value
 *     service, in parts per million, 0 to 100,000
 * @param requestTimeoutNanos time without a response after which a request counts as failed, more
 *     than 0
 */
public record LeaseOptions(long timeToLiveSeconds, long maxDriftPpm, long requestTimeoutNanos) {
    /** Maximum rate of lease renewals that all processes of the fleet send together. */
    public static final int FLEET_RENEWALS_PER_SECOND = 100;

    private static final int RENEWALS_PER_TIME_TO_LIVE = 3;
    private static final long MIN_TIME_TO_LIVE_SECONDS = 15;
    private static final long DEFAULT_MAX_DRIFT_PPM = 1_000;
    private static final long DEFAULT_REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long MILLION = 1_000_000;

    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a value is out of bounds
     */
    public LeaseOptions {
        if (timeToLiveSeconds < RENEWALS_PER_TIME_TO_LIVE || requestTimeoutNanos <= 0) {
            throw new IllegalArgumentException(
                    "timeToLiveSeconds "
                            + timeToLiveSeconds
                            + " is less than "
                            + RENEWALS_PER_TIME_TO_LIVE
                            + ", or requestTimeoutNanos "
                            + requestTimeoutNanos
                            + " is not positive");
        }
        if (maxDriftPpm < 0 || maxDriftPpm > MILLION / 10) {
            throw new IllegalArgumentException(
                    "maxDriftPpm not in [0, " + MILLION / 10 + "]: " + maxDriftPpm);
        }
    }

    /**
     * Returns options whose time to live grows with the fleet, so that the renewals of all
     * processes together do not exceed {@link #FLEET_RENEWALS_PER_SECOND}.
     *
     * @param processes number of processes in the fleet, at least 1
     * @throws IllegalArgumentException if {@code processes} is less than 1
     */
    public static LeaseOptions forFleetOf(int processes) {
        if (processes < 1) {
            throw new IllegalArgumentException("processes is less than 1: " + processes);
        }
        long seconds = (long) RENEWALS_PER_TIME_TO_LIVE * processes / FLEET_RENEWALS_PER_SECOND;
        return new LeaseOptions(
                Math.max(MIN_TIME_TO_LIVE_SECONDS, seconds),
                DEFAULT_MAX_DRIFT_PPM,
                DEFAULT_REQUEST_TIMEOUT_NANOS);
    }

    /** Returns a local duration in which at most {@code nanos} pass on the service's clock. */
    long minusMaxDrift(long nanos) {
        return nanos - maxDriftNanos(nanos);
    }

    /** Returns a local duration in which at least {@code nanos} pass on the service's clock. */
    long plusMaxDrift(long nanos) {
        return nanos + maxDriftNanos(nanos);
    }

    /** Returns the mean interval between renewals. */
    long renewalNanos() {
        return TimeUnit.SECONDS.toNanos(timeToLiveSeconds) / RENEWALS_PER_TIME_TO_LIVE;
    }

    private long maxDriftNanos(long nanos) {
        return nanos / MILLION * maxDriftPpm;
    }
}
