package ebonygw.gateway;

/**
 * Load that a target reports.
 *
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param slots maximum number of requests that it runs concurrently
 * @param workPercent how long work takes there at this moment, 100 as usual, or {@link
 *     #NOT_REPORTED} or {@link #INVALID}
 */
public record TargetLoad(int running, int queued, int slots, int workPercent) {
    /** The target does not report how long work takes. */
    public static final int NOT_REPORTED = 0;

    /** The target reports a number that is malformed or out of range. */
    public static final int INVALID = -1;

    /** Greatest number taken as valid: a target 100 times slower than usual is of no use. */
    public static final int MAX_WORK_PERCENT = 10_000;

    /** Creates a load without a number for how long work takes. */
    public TargetLoad(int running, int queued, int slots) {
        this(running, queued, slots, NOT_REPORTED);
    }
}
