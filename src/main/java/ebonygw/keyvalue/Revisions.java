package ebonygw.keyvalue;

/**
 * Revisions that keep their order when a key-value service is restored from an older copy of itself
 * and gives numbers out again.
 *
 * <p>A service counts its restores; this count is its era. A revision is the number by the service
 * in the lower bits and the era above them, so that any revision of a later era is greater. In era
 * 0 both are equal.
 */
public final class Revisions {
    /** Greatest era, so that a revision is an exact number in JSON. */
    public static final long MAX_ERA = (1 << 13) - 1;

    /** Bits for the number; a service that makes 10,000 changes a second needs three years. */
    private static final int NUMBER_BITS = 40;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    private Revisions() {}

    /** Returns the era of a revision. */
    public static long era(long revision) {
        return revision >>> NUMBER_BITS;
    }

    /** Returns the number of a revision by the service. */
    public static long number(long revision) {
        return revision & NUMBER_MASK;
    }

    /**
     * Returns the revision with a number by the service.
     *
     * @param era at most {@link #MAX_ERA}
     * @param number at least 0
     * @throws IllegalArgumentException if an argument is out of bounds
     */
    public static long of(long era, long number) {
        if (era < 0 || era > MAX_ERA || number < 0 || number > NUMBER_MASK) {
            throw new IllegalArgumentException(
                    "era or number out of bounds: " + era + ", " + number);
        }
        return era << NUMBER_BITS | number;
    }
}
