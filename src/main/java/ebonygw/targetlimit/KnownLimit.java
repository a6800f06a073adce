package ebonygw.targetlimit;

import java.util.Objects;

/**
 * What an entry knows of the limit that an incarnation of a target names.
 *
 * @param incarnation name of the incarnation
 * @param perSecond limit in requests per second, {@link NamedLimit#UNLIMITED} if it has ended
 * @param version grows with each change of the limit
 * @param confirmations grows while responses name the limit, at most twice a second
 */
public record KnownLimit(String incarnation, double perSecond, long version, long confirmations) {
    /** Maximum of both counts, far above what any process reaches; they never overflow. */
    static final long MAX_COUNT = 1L << 48;

    /**
     * Creates a value with a limit in its bounds.
     *
     * @throws IllegalArgumentException if the limit is negative or not a number, or a count is
     *     negative or above its maximum
     */
    public KnownLimit {
        Objects.requireNonNull(incarnation, "incarnation");
        if (!(perSecond >= 0) || !isCount(version) || !isCount(confirmations)) {
            throw new IllegalArgumentException(
                    "perSecond, version or confirmations out of bounds: "
                            + perSecond
                            + ", "
                            + version
                            + ", "
                            + confirmations);
        }
        if (perSecond != NamedLimit.UNLIMITED) {
            perSecond = NamedLimit.clamp(perSecond);
        }
    }

    private static boolean isCount(long number) {
        return number >= 0 && number <= MAX_COUNT;
    }
}
