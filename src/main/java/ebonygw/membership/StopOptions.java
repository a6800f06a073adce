package ebonygw.membership;

/**
 * Options of a {@link StopPlan}.
 *
 * @param acceptNanos how long new work is still accepted after the announcement, so that load
 *     balancers stop sending before anything is refused; 0 to refuse at once
 * @param finishNanos maximum time after that for running requests to end, at least 0
 * @param handOverNanos maximum time after that for the hand-over of shares, at least 0
 */
public record StopOptions(long acceptNanos, long finishNanos, long handOverNanos) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public StopOptions {
        if (acceptNanos < 0 || finishNanos < 0 || handOverNanos < 0) {
            throw new IllegalArgumentException(
                    "acceptNanos, finishNanos or handOverNanos is negative: "
                            + acceptNanos
                            + ", "
                            + finishNanos
                            + ", "
                            + handOverNanos);
        }
    }
}
