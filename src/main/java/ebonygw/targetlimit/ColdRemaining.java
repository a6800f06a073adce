package ebonygw.targetlimit;

import java.util.Objects;

/**
 * Time for which a target will stay cold, as its registration states it.
 *
 * @param kind whether the time is known
 * @param nanos the time, 0 if it is not known
 */
public record ColdRemaining(Kind kind, long nanos) {
    /** A registration without the time. */
    public static final ColdRemaining MISSING = new ColdRemaining(Kind.MISSING, 0);

    /** A registration with a time that cannot be read. */
    public static final ColdRemaining MALFORMED = new ColdRemaining(Kind.MALFORMED, 0);

    /** Maximum time in milliseconds, about 11 days, which keeps sums of times in range. */
    private static final double MAX_MILLIS = 1e9;

    /** Creates the time. */
    public ColdRemaining {
        Objects.requireNonNull(kind, "kind");
    }

    /** Whether the time is known. */
    public enum Kind {
        /** It is known. */
        GIVEN,
        /** The registration does not contain it. */
        MISSING,
        /** It is not a number, or is negative. */
        MALFORMED
    }

    /** Returns a time; {@link #MALFORMED} if it is negative or not a number. */
    public static ColdRemaining ofMillis(double millis) {
        return millis >= 0
                ? new ColdRemaining(Kind.GIVEN, (long) (Math.min(millis, MAX_MILLIS) * 1e6))
                : MALFORMED;
    }
}
