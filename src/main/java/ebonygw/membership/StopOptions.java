package ebonygw.membership;

/**
 * Options of a {@link StopPlan}.
 *
 * @param acceptNanos how long new work is still taken after the announcement, so that a balancer
 *     notices before anything is refused; 0 to refuse at once
 * @param finishNanos how long running work may take to end after that
 * @param handOverNanos how long the handing over may take after that
 */
public record StopOptions(long acceptNanos, long finishNanos, long handOverNanos) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public StopOptions {
        if (acceptNanos < 0 || finishNanos < 0 || handOverNanos < 0) {
            throw new IllegalArgumentException("a time is negative");
        }
    }
}
