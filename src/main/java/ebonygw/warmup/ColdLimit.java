package ebonygw.warmup;

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

    /** Returns a limit; {@link #MALFORMED} if a number is negative or not finite. */
    public static ColdLimit of(double perSecond, double startSeconds) {
        boolean valid =
                Double.isFinite(perSecond)
                        && Double.isFinite(startSeconds)
                        && perSecond >= 0
                        && startSeconds >= 0;
        return valid
                ? new ColdLimit(
                        perSecond, (long) (Math.min(startSeconds, MAX_START_SECONDS) * 1e9), false)
                : MALFORMED;
    }

    /** Returns whether there is a limit. */
    boolean isSet() {
        return perSecond > 0;
    }
}
