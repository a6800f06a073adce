package ebonygw;

import ebonygw.admission.Resource;
import ebonygw.membership.Member;
import java.util.List;
import java.util.Objects;

/**
 * Settings of an {@link EntryNode}.
 *
 * @param self this process
 * @param maxExchanges most requests open at once
 * @param credit answer parts that a target process may send ahead of the caller
 * @param maxLinks most target processes that it keeps links to
 * @param fleetSize about how many processes the fleet has
 * @param loadStores weight stores whose budgets are divided among the target processes
 * @param acceptNanos how long new requests are taken after a stop was asked for
 * @param stopTimeoutNanos longest time of a graceful stop
 * @param seed seed of its random decisions
 */
public record EntryNodeOptions(
        Member self,
        int maxExchanges,
        int credit,
        int maxLinks,
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
     * @throws NullPointerException if {@code self} is null
     * @throws IllegalArgumentException if a number is below 1
     */
    public EntryNodeOptions {
        Objects.requireNonNull(self, "self");
        loadStores = List.copyOf(loadStores);
        if (maxExchanges < 1 || credit < 1 || maxLinks < 1 || fleetSize < 1) {
            throw new IllegalArgumentException("a limit is below 1");
        }
        if (acceptNanos < 0 || stopTimeoutNanos < 1) {
            throw new IllegalArgumentException("a time is out of its bounds");
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
