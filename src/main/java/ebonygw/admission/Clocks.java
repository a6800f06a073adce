package ebonygw.admission;

/** How the clocks of two hosts may differ: not by a bounded offset, but by a bounded rate. */
final class Clocks {
    /** Parts in a million by which a host's clock runs faster or slower than true time, at most. */
    static final long DRIFT_PARTS_PER_MILLION = 500;

    private static final long MILLION = 1_000_000L;

    private Clocks() {}

    /** Returns the rate to divide so that hosts with fast clocks stay within a whole rate. */
    static long safeRate(long rate) {
        return rate - (rate * DRIFT_PARTS_PER_MILLION + MILLION - 1) / MILLION;
    }

    /** Returns how long to wait here until a time has surely passed on another host. */
    static long waitingOut(long nanos) {
        return nanos + nanos * 3 * DRIFT_PARTS_PER_MILLION / MILLION;
    }
}
