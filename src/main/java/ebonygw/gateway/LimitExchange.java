package ebonygw.gateway;

import ebonygw.protocol.NodeId;
import ebonygw.targetlimit.KnownLimit;
import ebonygw.targetlimit.NamedLimits;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Passes the limits that targets name on over the links between entries, from each to all that it
 * is linked to.
 *
 * <p>Not thread-safe.
 */
final class LimitExchange {
    /** Minimum interval between two messages on a link: a few ticks of the control thread. */
    private static final long SEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final NamedLimits mLimits;
    private final GatewayOutbox mOut;
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();
    private Set<NodeId> mEntries = Set.of();

    LimitExchange(NamedLimits limits, GatewayOutbox out) {
        mLimits = limits;
        mOut = out;
    }

    /** Applies the registered entries. */
    void onEntries(Collection<NodeId> entries) {
        mEntries = Set.copyOf(entries);
    }

    /** Handles that the link to a process is up or down. */
    void onLink(NodeId peer, boolean up) {
        if (up) {
            mPeers.put(peer, new Peer());
        } else {
            mPeers.remove(peer);
        }
    }

    /** Applies a message of another entry. */
    void onMessage(NodeId from, GatewayMessage.TargetLimits message, long nowNanos) {
        message.limits().forEach(it -> mLimits.onKnown(it, from.name(), nowNanos));
    }

    /** Sends the messages that are due. */
    void onTick(long nowNanos) {
        mPeers.forEach((peer, state) -> sendIfDue(peer, state, nowNanos));
    }

    private void sendIfDue(NodeId peer, Peer state, long nowNanos) {
        long change = mLimits.change();
        boolean early =
                state.mSentNanos != Long.MIN_VALUE
                        && nowNanos - state.mSentNanos < SEND_INTERVAL_NANOS;
        if (state.mSentChange == change || early || !mEntries.contains(peer)) {
            return;
        }
        List<KnownLimit> changed = mLimits.changedSince(state.mSentChange);
        state.mSentChange = change;
        state.mSentNanos = nowNanos;
        if (!changed.isEmpty()) {
            mOut.send(peer, new GatewayMessage.TargetLimits(changed));
        }
    }

    /** State of the link to another process. */
    private static final class Peer {
        private long mSentChange;
        private long mSentNanos = Long.MIN_VALUE;
    }
}
