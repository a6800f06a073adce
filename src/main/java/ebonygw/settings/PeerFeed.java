package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.SettingsMessage.Changes;
import ebonygw.settings.SettingsMessage.Fetch;
import ebonygw.settings.SettingsMessage.FetchPart;
import ebonygw.settings.SettingsMessage.Offer;
import ebonygw.settings.SettingsMessage.Part;
import ebonygw.settings.SettingsMessage.WatcherAlive;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Exchanges settings with the connected processes (peers).
 *
 * <p>A new revision is offered on each connection. A process that lacks it fetches it, from one
 * peer at a time.
 */
final class PeerFeed {
    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_CHANGES_BYTES = 256 * 1024;

    private final SettingsReplica mReplica;
    private final RandomGenerator mRandom;
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();
    private final SnapshotServer mServer = new SnapshotServer();
    private NodeId mFetchingFrom;
    private long mFetchDeadlineNanos;
    private SnapshotAssembly mAssembly;

    PeerFeed(SettingsReplica replica, SettingsReplicaOptions options) {
        mReplica = replica;
        mRandom = options.random();
    }

    /** Sends a message to every peer but one; {@code except} may be null. */
    void flood(SettingsMessage message, NodeId except, Outbox out) {
        for (NodeId peer : mPeers.keySet()) {
            if (!peer.equals(except)) {
                out.send(peer, message);
            }
        }
    }

    /**
     * Returns whether at least one peer is connected and none is known to have a newer revision.
     */
    boolean isCaughtUp() {
        return !mPeers.isEmpty() && mPeers.values().stream().noneMatch(this::isAhead);
    }

    /** Offers the present revision to every peer but one; {@code except} may be null. */
    void offer(NodeId except, Outbox out) {
        flood(new Offer(mReplica.state().revision()), except, out);
    }

    void onMessage(NodeId from, SettingsMessage message, long nowNanos, Outbox out) {
        if (message instanceof Offer offer) {
            onPeerRevision(from, offer.revision(), nowNanos, out);
        } else if (message instanceof Fetch fetch) {
            onFetch(from, fetch.after(), out);
        } else if (message instanceof Changes changes) {
            onChanges(from, changes, nowNanos, out);
        } else if (message instanceof FetchPart fetch) {
            out.send(from, mServer.part(mReplica.state(), fetch.revision(), fetch.index()));
        } else if (message instanceof Part part) {
            onPart(from, part, nowNanos, out);
        } else if (message instanceof WatcherAlive) {
            throw new IllegalArgumentException(
                    "message is not handled by the peer feed: " + message);
        }
    }

    void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        Peer connected = mPeers.get(peer);
        if (connected == null || connected.mIncarnation != incarnation) {
            return;
        }
        mPeers.remove(peer);
        if (peer.equals(mFetchingFrom)) {
            endFetch();
            fetch(nowNanos, out);
        }
    }

    void onPeerRevision(NodeId peer, long revision, long nowNanos, Outbox out) {
        Peer connected = mPeers.get(peer);
        if (connected == null) {
            return;
        }
        connected.mRevision = Math.max(connected.mRevision, revision);
        fetch(nowNanos, out);
    }

    void onPeerUp(NodeId peer, long incarnation, Outbox out) {
        mPeers.put(peer, new Peer(incarnation));
        out.send(peer, new Offer(mReplica.state().revision()));
    }

    void onTick(long nowNanos, Outbox out) {
        if (mFetchingFrom != null && nowNanos >= mFetchDeadlineNanos) {
            backOff(mFetchingFrom, nowNanos);
        }
        fetch(nowNanos, out);
    }

    private void backOff(NodeId peer, long nowNanos) {
        Peer connected = mPeers.get(peer);
        if (connected != null) {
            connected.mBackOffUntilNanos = nowNanos + BACK_OFF_NANOS;
        }
        endFetch();
    }

    private void endFetch() {
        mFetchingFrom = null;
        mAssembly = null;
    }

    private void fetch(long nowNanos, Outbox out) {
        if (mFetchingFrom != null) {
            return;
        }
        List<NodeId> candidates = new ArrayList<>();
        mPeers.forEach(
                (id, peer) -> {
                    if (isAhead(peer) && peer.mBackOffUntilNanos <= nowNanos) {
                        candidates.add(id);
                    }
                });
        if (candidates.isEmpty()) {
            return;
        }
        mFetchingFrom = candidates.get(mRandom.nextInt(candidates.size()));
        mFetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        out.send(mFetchingFrom, new Fetch(mReplica.state().revision()));
    }

    private boolean isAhead(Peer peer) {
        return peer.mRevision > mReplica.state().revision();
    }

    private void onChanges(NodeId from, Changes changes, long nowNanos, Outbox out) {
        boolean advanced = mReplica.applyStored(changes.stored(), from, out);
        if (!from.equals(mFetchingFrom)) {
            return;
        }
        Peer peer = mPeers.get(from);
        if (!advanced && peer != null && isAhead(peer)) {
            backOff(from, nowNanos);
        } else {
            endFetch();
        }
        fetch(nowNanos, out);
    }

    private void onFetch(NodeId from, long after, Outbox out) {
        SettingsState state = mReplica.state();
        if (after >= state.revision()) {
            out.send(from, new Offer(state.revision()));
            return;
        }
        List<ByteString> stored = new ArrayList<>();
        long bytes = 0;
        for (long revision = after + 1; revision <= state.revision(); revision++) {
            Optional<LoggedChange> logged = state.logged(revision);
            if (logged.isEmpty()) {
                // The change is no longer retained, so the peer needs a snapshot.
                out.send(from, mServer.part(state, 0, 0));
                return;
            }
            bytes += logged.get().stored().size();
            if (!stored.isEmpty() && bytes > MAX_CHANGES_BYTES) {
                break;
            }
            stored.add(logged.get().stored());
        }
        out.send(from, new Changes(stored));
    }

    private void onPart(NodeId from, Part part, long nowNanos, Outbox out) {
        if (!from.equals(mFetchingFrom)) {
            return;
        }
        if (part.revision() <= mReplica.state().revision()) {
            endFetch();
            fetch(nowNanos, out);
            return;
        }
        if (part.count() > SnapshotAssembly.MAX_PARTS) {
            backOff(from, nowNanos);
            return;
        }
        if (mAssembly == null || !mAssembly.matches(part)) {
            mAssembly = new SnapshotAssembly(part.revision(), part.checksum(), part.count());
        }
        mAssembly.add(part.index(), part.data());
        mFetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        if (!mAssembly.isComplete()) {
            out.send(from, new FetchPart(part.revision(), mAssembly.firstMissing()));
            return;
        }
        Optional<SettingsState> state = mAssembly.restore();
        if (state.isEmpty()) {
            backOff(from, nowNanos);
        } else {
            endFetch();
            mReplica.install(state.get(), from, out);
        }
        fetch(nowNanos, out);
    }

    private static final class Peer {
        private final long mIncarnation;
        private long mRevision;
        private long mBackOffUntilNanos;

        Peer(long incarnation) {
            mIncarnation = incarnation;
        }
    }
}
