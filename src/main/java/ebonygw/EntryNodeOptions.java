package ebonygw;

import ebonygw.admission.Resource;
import ebonygw.membership.Member;
import java.util.List;
import java.util.Objects;

/**
 * Options of an {@link EntryNode}.
 *
 * @param self this process
 * @param maxExchanges maximum number of open requests, at least 1
 * @param credit number of response parts that a target process may send before the caller has
 *     consumed any, at least 1
 * @param maxTargetConnections maximum number of target processes to stay connected to, at least 1
 * @param fleetSize approximate number of processes in the fleet, at least 1
 * @param loadStores weight stores whose load budgets the entry processes divide among the target
 *     processes
 * @param acceptNanos time for which new requests are still accepted after a stop was requested, at
 *     least 0
 * @param stopTimeoutNanos time limit for open work to finish during a graceful stop, at least 1
 * @param seed seed of the node's random decisions
 */
public record EntryNodeOptions(
        Member self,
        int maxExchanges,
        int credit,
        int maxTargetConnections,
        int fleetSize,
        List<Resource> loadStores,
        long acceptNanos,
        long stopTimeoutNanos,
        long seed) {
    private static final int DEFAULT_MAX_EXCHANGES = 10_000;
    private static final int DEFAULT_CREDIT = 64;
    private static final int DEFAULT_MAX_LINKS = 64;
    private static final int DEFAULT_FLEET_SIZE = 100;
    private static final long DEFAULT_ACCEPT_NANOS = 1_000_000_000L;
    private static final long DEFAULT_STOP_TIMEOUT_NANOS = 60_000_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code self} or {@code loadStores} is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public EntryNodeOptions {
        Objects.requireNonNull(self, "self");
        loadStores = List.copyOf(loadStores);
        if (maxExchanges < 1 || credit < 1 || maxTargetConnections < 1 || fleetSize < 1) {
            throw new IllegalArgumentException(
                    "must be at least 1: maxExchanges "
                            + maxExchanges
                            + ", credit "
                            + credit
                            + ", maxTargetConnections "
                            + maxTargetConnections
                            + ", fleetSize "
                            + fleetSize);
        }
        if (acceptNanos < 0 || stopTimeoutNanos < 1) {
            throw new IllegalArgumentException(
                    "acceptNanos must be at least 0: "
                            + acceptNanos
                            + ", stopTimeoutNanos at least 1: "
                            + stopTimeoutNanos);
        }
    }

    /** Returns the defaults for a process. */
    public static EntryNodeOptions defaults(Member self, long seed) {
        return new EntryNodeOptions(
                self,
                DEFAULT_MAX_EXCHANGES,
                DEFAULT_CREDIT,
                DEFAULT_MAX_LINKS,
                DEFAULT_FLEET_SIZE,
                List.of(),
                DEFAULT_ACCEPT_NANOS,
                DEFAULT_STOP_TIMEOUT_NANOS,
                seed);
    }
}
