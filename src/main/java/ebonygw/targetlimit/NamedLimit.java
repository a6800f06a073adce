package ebonygw.targetlimit;

import java.util.Objects;

/**
 * What a response of a target states about the requests per second that the target takes from all
 * entries together.
 *
 * @param kind whether the response states a limit
 * @param perSecond the limit in requests per second, {@link #UNLIMITED} if it states none
 */
public record NamedLimit(Kind kind, double perSecond) {
    /** Value that stands for no limit; greater than each limit. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Lowest limit that is applied, in requests per second: one request in the 4 s for which the
     * rate of a target counts, so that its responses still tell when the limit ends.
     */
    public static final double MIN_PER_SECOND = 0.25;

    /** Highest limit that is applied, in requests per second, which keeps products in range. */
    public static final double MAX_PER_SECOND = 1e6;

    /** A response that states no limit. */
    public static final NamedLimit NONE = new NamedLimit(Kind.NONE, UNLIMITED);

    /** A response with a limit that cannot be read. */
    public static final NamedLimit MALFORMED = new NamedLimit(Kind.MALFORMED, UNLIMITED);

    /**
     * Creates a statement.
     *
     * @throws NullPointerException if {@code kind} is null
     */
    public NamedLimit {
        Objects.requireNonNull(kind, "kind");
    }

    /** Whether a response states a limit. */
    public enum Kind {
        /** It states none. */
        NONE,
        /** It states one. */
        GIVEN,
        /** It states one that is not a number or is negative. */
        MALFORMED
    }

    /**
     * Returns a limit within {@link #MIN_PER_SECOND} and {@link #MAX_PER_SECOND}; {@link
     * #MALFORMED} if it is negative or not a number.
     */
    public static NamedLimit of(double perSecond) {
        return perSecond >= 0 ? new NamedLimit(Kind.GIVEN, clamp(perSecond)) : MALFORMED;
    }

    /** Returns a limit that is applied for a given one, which is not negative. */
    static double clamp(double perSecond) {
        return Math.max(MIN_PER_SECOND, Math.min(MAX_PER_SECOND, perSecond));
    }
}
