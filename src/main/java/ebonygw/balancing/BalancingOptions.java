package ebonygw.balancing;

import java.util.concurrent.TimeUnit;

/**
 * Constants of the latency model and of the choice among targets of uneven speed.
 *
 * @param halfLifeNanos time after which completions of a target count half, positive
 * @param priorWeight number of completions of a target that the median of its service counts for,
 *     positive
 * @param maxStep factor beyond which a single completion is clipped, relative to its prediction,
 *     above 1
 * @param maxOverdue maximum factor by which an overdue response raises the estimate, at least 1
 * @param reportFadeNanos age at which a reported number has no effect any more, positive
 * @param enabledNanos time after the last reported number of a service for which its targets are
 *     chosen by the model, positive
 * @param priorNanos interval at which the median of a service is computed, positive
 * @param nearFraction fraction of the lowest expected time within which costs are nearly equal
 * @param nearNanos minimum difference within which costs are nearly equal, positive
 * @param slowStartNanos time over which a target that returns gets its work back, positive
 * @param minCapacity fraction of its work that a target gets at the start of that time, in (0, 1]
 * @param loadBound multiple of its fair load up to which a target's cached prompt parts attract
 *     requests, at least 1
 */
public record BalancingOptions(
        long halfLifeNanos,
        double priorWeight,
        double maxStep,
        double maxOverdue,
        long reportFadeNanos,
        long enabledNanos,
        long priorNanos,
        double nearFraction,
        long nearNanos,
        long slowStartNanos,
        double minCapacity,
        double loadBound) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public BalancingOptions {
        boolean positive =
                halfLifeNanos > 0
                        && priorWeight > 0
                        && reportFadeNanos > 0
                        && enabledNanos > 0
                        && priorNanos > 0
                        && nearNanos > 0
                        && slowStartNanos > 0;
        if (!positive || maxStep <= 1 || maxOverdue < 1 || loadBound < 1) {
            throw new IllegalArgumentException(
                    "times and weights must be positive, maxStep above 1, maxOverdue and loadBound"
                            + " at least 1");
        }
        if (!(minCapacity > 0 && minCapacity <= 1)) {
            throw new IllegalArgumentException("minCapacity must be in (0, 1]: " + minCapacity);
        }
    }

    /**
     * Returns the constants for production.
     *
     * <p>At 800 requests per second, 28 entries and 35 targets, an entry sees about one completion
     * a second of each target, and a disturbance lasts 6 s: a half-life of 3 s uses the last few
     * completions. Periods of slow work last 600 ms, after which a report says nothing.
     */
    public static BalancingOptions defaults() {
        return new BalancingOptions(
                TimeUnit.SECONDS.toNanos(3),
                2,
                2,
                10,
                TimeUnit.MILLISECONDS.toNanos(600),
                TimeUnit.SECONDS.toNanos(60),
                TimeUnit.MILLISECONDS.toNanos(250),
                0.2,
                TimeUnit.MILLISECONDS.toNanos(2),
                TimeUnit.SECONDS.toNanos(5),
                0.1,
                1.25);
    }
}
