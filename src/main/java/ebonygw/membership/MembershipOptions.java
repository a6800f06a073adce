package ebonygw.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Options of a {@link Membership}.
 *
 * @param self this process in its initial state, usually {@link MemberState#JOINING}
 * @param heartbeatNanos mean interval between heartbeats on a connection, more than 0
 * @param suspectAfterNanos time without a message on an open connection after which the peer is
 *     suspected, more than {@code heartbeatNanos}
 * @param gossipNanos interval at which collected updates are sent, more than 0
 * @param digestNanos mean interval between comparisons with the table of a peer, more than 0
 * @param removalNanos time for which a host must be absent from the host list to count as removed,
 *     more than 0
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
     * @throws IllegalArgumentException if a time is out of bounds
     */
    public MembershipOptions {
        Objects.requireNonNull(self, "self");
        if (heartbeatNanos <= 0 || gossipNanos <= 0 || digestNanos <= 0 || removalNanos <= 0) {
            throw new IllegalArgumentException(
                    "heartbeatNanos, gossipNanos, digestNanos or removalNanos is not positive: "
                            + heartbeatNanos
                            + ", "
                            + gossipNanos
                            + ", "
                            + digestNanos
                            + ", "
                            + removalNanos);
        }
        if (suspectAfterNanos <= heartbeatNanos) {
            throw new IllegalArgumentException(
                    "suspectAfterNanos "
                            + suspectAfterNanos
                            + " is not greater than heartbeatNanos "
                            + heartbeatNanos);
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
