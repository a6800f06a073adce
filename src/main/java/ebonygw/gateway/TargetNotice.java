package ebonygw.gateway;

/**
 * What a target says about itself with a response, beside its load.
 *
 * @param leaving whether it is about to stop and wants no new requests
 * @param pauseNanos for how long it wants no requests of this process, in nanoseconds, 0 for none
 */
public record TargetNotice(boolean leaving, long pauseNanos) {
    /** A response without a notice. */
    public static final TargetNotice NONE = new TargetNotice(false, 0);

    /** Says that the target is about to stop. */
    static final TargetNotice LEAVING = new TargetNotice(true, 0);

    /**
     * Creates a notice.
     *
     * @throws IllegalArgumentException if {@code pauseNanos} is negative
     */
    public TargetNotice {
        if (pauseNanos < 0) {
            throw new IllegalArgumentException("pauseNanos must not be negative: " + pauseNanos);
        }
    }
}
