package ebonygw.admission;

/**
 * Margins for the drift between the clocks of hosts.
 *
 * <p>The offset between two clocks is not bounded; only the error of each clock's rate is.
 */
final class ClockDrift {
    /** Maximum error of the rate of a host's clock, fast or slow. */
    static final long MAX_PARTS_PER_MILLION = 500;

    private static final long MILLION = 1_000_000L;

    private ClockDrift() {}

    /** Returns the part of a rate that hosts may divide and still keep to it with fast clocks. */
    static long reduceRate(long rate) {
        return rate - (rate * MAX_PARTS_PER_MILLION + MILLION - 1) / MILLION;
    }

    /** Returns how long to wait on this host so that a duration has passed on any other host. */
    static long withMargin(long nanos) {
        return nanos + nanos * 3 * MAX_PARTS_PER_MILLION / MILLION;
    }
}
