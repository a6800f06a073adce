package ebonygw.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Options of a {@link Membership}.
 *
 * @param self this process; its state is where it starts, usually {@link MemberState#JOINING}
 * @param heartbeatNanos time between two heartbeats on a link, more than 0
 * @param suspectAfterNanos silence on a link after which its process is suspected, more than {@code
 *     heartbeatNanos}
 * @param gossipNanos time between two sendings of collected updates, more than 0
 * @param digestNanos time between two comparisons with a neighbour's table, more than 0
 * @param removalNanos how long a host has to be absent from the host list before this counts as
 *     removed, more than 0
 */
public record MembershipOptions(
        Member self,
        long heartbeatNanos,
        long suspectAfterNanos,
        long gossipNanos,
        long digestNanos,
        long removalNanos) {
    private static final long HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long SUSPECT_AFTER_NANOS = Duration.ofMillis(2500).toNanos();
    private static final long GOSSIP_NANOS = Duration.ofMillis(100).toNanos();
    private static final long DIGEST_NANOS = Duration.ofSeconds(20).toNanos();
    private static final long REMOVAL_NANOS = Duration.ofSeconds(30).toNanos();

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code self} is null
     * @throws IllegalArgumentException if a time is out of its bounds
     */
    public MembershipOptions {
        Objects.requireNonNull(self, "self");
        if (heartbeatNanos <= 0 || gossipNanos <= 0 || digestNanos <= 0 || removalNanos <= 0) {
            throw new IllegalArgumentException("a time is not positive");
        }
        if (suspectAfterNanos <= heartbeatNanos) {
            throw new IllegalArgumentException("suspectAfterNanos is not above heartbeatNanos");
        }
    }

    /** Returns the default options for a process. */
    public static MembershipOptions of(Member self) {
        return new MembershipOptions(
                self,
                HEARTBEAT_NANOS,
                SUSPECT_AFTER_NANOS,
                GOSSIP_NANOS,
                DIGEST_NANOS,
                REMOVAL_NANOS);
    }
}
