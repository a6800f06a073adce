package ebonygw.keyvalue;

/**
 * Faults that a stand-in of the key-value service injects.
 *
 * @param down whether the service refuses all requests and ends its watches
 * @param delayNanos minimum delay of a response
 * @param jitterNanos bound, exclusive, of a random additional delay; 0 for none
 * @param lostResponsePercent percentage of requests that are executed but reported as failed
 */
public record KeyValueFaults(
        boolean down, long delayNanos, long jitterNanos, int lostResponsePercent) {
    /** No faults. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, 0, 0, 0);

    /** Service unavailable. */
    public static final KeyValueFaults DOWN = new KeyValueFaults(true, 0, 0, 0);

    /**
     * Creates the faults.
     *
     * @throws IllegalArgumentException if a time is negative or the percentage is not from 0 to 100
     */
    public KeyValueFaults {
        if (delayNanos < 0 || jitterNanos < 0) {
            throw new IllegalArgumentException(
                    "delays must not be negative: delayNanos "
                            + delayNanos
                            + ", jitterNanos "
                            + jitterNanos);
        }
        if (lostResponsePercent < 0 || lostResponsePercent > 100) {
            throw new IllegalArgumentException(
                    "lostResponsePercent must be from 0 to 100: " + lostResponsePercent);
        }
    }
}
