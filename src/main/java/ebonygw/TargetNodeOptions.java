package ebonygw;

import ebonygw.membership.Member;
import java.util.Objects;

/**
 * Settings of a {@link TargetNode}.
 *
 * @param self this process; {@code self.serves()} names the base model or plain service
 * @param model whether the target is a model engine
 * @param engineChecksTokens whether the engine refuses orders with an old fencing token
 * @param hostExclusive whether the target can be reached only from this host
 * @param fleetSize about how many processes the fleet has
 * @param loadStore name of the weight store, empty if its budget is not divided
 * @param maxQueue most requests that wait in the process
 * @param concurrency requests that a plain service, or an engine that has not reported, runs well
 *     together
 * @param longestOrderNanos longest time that an order to the engine takes to be done or given up
 * @param stopTimeoutNanos longest time of a graceful stop
 * @param seed seed of its random decisions
 */
public record TargetNodeOptions(
        Member self,
        boolean model,
        boolean engineChecksTokens,
        boolean hostExclusive,
        int fleetSize,
        String loadStore,
        int maxQueue,
        int concurrency,
        long longestOrderNanos,
        long stopTimeoutNanos,
        long seed) {
    private static final int DEFAULT_FLEET_SIZE = 100;
    private static final int DEFAULT_MAX_QUEUE = 1_000;
    private static final int DEFAULT_CONCURRENCY = 32;
    private static final long DEFAULT_LONGEST_ORDER_NANOS = 10_000_000_000L;
    private static final long DEFAULT_STOP_TIMEOUT_NANOS = 60_000_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code self} is null
     * @throws IllegalArgumentException if a number is below 1
     */
    public TargetNodeOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(loadStore, "loadStore");
        if (fleetSize < 1
                || maxQueue < 1
                || concurrency < 1
                || longestOrderNanos < 1
                || stopTimeoutNanos < 1) {
            throw new IllegalArgumentException("a limit is below 1");
        }
    }

    /** Returns the defaults for a process. */
    public static TargetNodeOptions defaults(Member self, boolean model, long seed) {
        return new TargetNodeOptions(
                self,
                model,
                true,
                true,
                DEFAULT_FLEET_SIZE,
                "",
                DEFAULT_MAX_QUEUE,
                DEFAULT_CONCURRENCY,
                DEFAULT_LONGEST_ORDER_NANOS,
                DEFAULT_STOP_TIMEOUT_NANOS,
                seed);
    }
}
