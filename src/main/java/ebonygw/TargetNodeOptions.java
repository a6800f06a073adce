package ebonygw;

import ebonygw.membership.Member;
import java.util.Objects;

/**
 * Options of a {@link TargetNode}.
 *
 * @param self this process; {@code self.serves()} names the base model or plain service
 * @param model true if the target is a model engine, false if it is a plain service
 * @param engineChecksTokens whether the engine refuses orders with an outdated fencing token
 * @param hostExclusive whether the target is reachable from this host only
 * @param fleetSize approximate number of processes in the fleet, at least 1
 * @param loadStore name of the weight store, empty if its budget is not divided
 * @param maxQueue maximum number of requests queued in this process, at least 1
 * @param concurrency number of requests that a plain service, or an engine that has not reported
 *     yet, runs well concurrently, at least 1
 * @param maxOrderNanos maximum time until an order to the engine is done or has timed out, at least
 *     1
 * @param stopTimeoutNanos time limit for open work to finish during a graceful stop, at least 1
 * @param seed seed of the node's random decisions
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
        long maxOrderNanos,
        long stopTimeoutNanos,
        long seed) {
    private static final int DEFAULT_FLEET_SIZE = 100;
    private static final int DEFAULT_MAX_QUEUE = 1_000;
    private static final int DEFAULT_CONCURRENCY = 32;
    private static final long DEFAULT_MAX_ORDER_NANOS = 10_000_000_000L;
    private static final long DEFAULT_STOP_TIMEOUT_NANOS = 60_000_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code self} or {@code loadStore} is null
     * @throws IllegalArgumentException if a number is below 1
     */
    public TargetNodeOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(loadStore, "loadStore");
        if (fleetSize < 1
                || maxQueue < 1
                || concurrency < 1
                || maxOrderNanos < 1
                || stopTimeoutNanos < 1) {
            throw new IllegalArgumentException(
                    "must be at least 1: fleetSize "
                            + fleetSize
                            + ", maxQueue "
                            + maxQueue
                            + ", concurrency "
                            + concurrency
                            + ", maxOrderNanos "
                            + maxOrderNanos
                            + ", stopTimeoutNanos "
                            + stopTimeoutNanos);
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
                DEFAULT_MAX_ORDER_NANOS,
                DEFAULT_STOP_TIMEOUT_NANOS,
                seed);
    }
}
