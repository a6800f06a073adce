package ebonygw.keyvalue;

/**
 * How a stand-in of the key-value service misbehaves.
 *
 * @param down whether it takes no calls and ends its watches
 * @param delayNanos least time until an answer
 * @param jitterNanos most further time until an answer
 * @param lostAnswerPercent part of the calls that take effect but are answered as a failure
 */
public record KeyValueFaults(
        boolean down, long delayNanos, long jitterNanos, int lostAnswerPercent) {
    /** No faults at all. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, 0, 0, 0);

    /** Out of service. */
    public static final KeyValueFaults DOWN = new KeyValueFaults(true, 0, 0, 0);

    /**
     * Creates the faults.
     *
     * @throws IllegalArgumentException if a time is negative or the part is not 0 to 100
     */
    public KeyValueFaults {
        if (delayNanos < 0 || jitterNanos < 0) {
            throw new IllegalArgumentException("negative time");
        }
        if (lostAnswerPercent < 0 || lostAnswerPercent > 100) {
            throw new IllegalArgumentException("lostAnswerPercent out of bounds");
        }
    }
}
