package ebonygw.targetlimit;

import java.util.concurrent.TimeUnit;

/**
 * Limit of a service on the requests to its cold targets.
 *
 * @param perSecond requests per second that a cold target can serve, 0 for no limit
 * @param startNanos time for which a target is cold after its start
 * @param malformed whether the configured limit could not be read, so that there is none
 */
public record ColdLimit(double perSecond, long startNanos, boolean malformed) {
    /** No limit. */
    public static final ColdLimit NONE = new ColdLimit(0, 0, false);

    /** No limit, because the configured one could not be read. */
    public static final ColdLimit MALFORMED = new ColdLimit(0, 0, true);

    /** Maximum time after the start, which keeps sums of times in range. */
    private static final double MAX_START_SECONDS = TimeUnit.DAYS.toSeconds(1);

    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException if a number is negative or not finite
     */
    public ColdLimit {
        if (!Double.isFinite(perSecond) || perSecond < 0 || startNanos < 0) {
            throw new IllegalArgumentException(
                    "perSecond and startNanos must not be negative: "
                            + perSecond
                            + ", "
                            + startNanos);
        }
    }

    /**
     * Returns a limit. {@link #MALFORMED} if the rate is negative or not finite; with the longest
     * time after a start if only that is, so that the limit still holds.
     */
    public static ColdLimit of(double perSecond, double startSeconds) {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            return MALFORMED;
        }
        boolean valid = Double.isFinite(startSeconds) && startSeconds >= 0;
        double seconds = valid ? Math.min(startSeconds, MAX_START_SECONDS) : MAX_START_SECONDS;
        return new ColdLimit(perSecond, (long) (seconds * 1e9), !valid);
    }

    /** Returns whether there is a limit. */
    boolean isSet() {
        return perSecond > 0;
    }
}
