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
 * Gets settings from linked processes and gives them to those behind.
 *
 * <p>A new revision is offered on each link; who lacks it fetches it once, from one process at a
 * time.
 */
final class PeerFeed {
    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
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

    /** Returns whether some process is linked and none is known to be ahead. */
    boolean caughtUp() {
        return !mPeers.isEmpty() && mPeers.values().stream().noneMatch(this::ahead);
    }

    /** Sends a message on each link but one. */
    void flood(SettingsMessage message, NodeId except, Outbox out) {
        for (NodeId peer : mPeers.keySet()) {
            if (!peer.equals(except)) {
                out.send(peer, message);
            }
        }
    }

    /** Tells the linked processes of the present revision. */
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
            throw new IllegalArgumentException("not a message of the feed");
        }
    }

    void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        Peer known = mPeers.get(peer);
        if (known == null || known.mIncarnation != incarnation) {
            return;
        }
        mPeers.remove(peer);
        if (peer.equals(mFetchingFrom)) {
            endFetch();
            fetch(nowNanos, out);
        }
    }

    void onPeerRevision(NodeId peer, long revision, long nowNanos, Outbox out) {
        Peer known = mPeers.get(peer);
        if (known == null) {
            return;
        }
        known.mRevision = Math.max(known.mRevision, revision);
        fetch(nowNanos, out);
    }

    void onPeerUp(NodeId peer, long incarnation, Outbox out) {
        mPeers.put(peer, new Peer(incarnation));
        out.send(peer, new Offer(mReplica.state().revision()));
    }

    void onTick(long nowNanos, Outbox out) {
        if (mFetchingFrom != null && nowNanos >= mFetchDeadlineNanos) {
            avoid(mFetchingFrom, nowNanos);
        }
        fetch(nowNanos, out);
    }

    private boolean ahead(Peer peer) {
        return peer.mRevision > mReplica.state().revision();
    }

    private void avoid(NodeId peer, long nowNanos) {
        Peer known = mPeers.get(peer);
        if (known != null) {
            known.mAvoidUntilNanos = nowNanos + AVOID_NANOS;
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
        List<NodeId> able = new ArrayList<>();
        mPeers.forEach(
                (id, peer) -> {
                    if (ahead(peer) && peer.mAvoidUntilNanos <= nowNanos) {
                        able.add(id);
                    }
                });
        if (able.isEmpty()) {
            return;
        }
        mFetchingFrom = able.get(mRandom.nextInt(able.size()));
        mFetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        out.send(mFetchingFrom, new Fetch(mReplica.state().revision()));
    }

    private void onChanges(NodeId from, Changes changes, long nowNanos, Outbox out) {
        boolean advanced = mReplica.learnStored(changes.stored(), from, out);
        if (!from.equals(mFetchingFrom)) {
            return;
        }
        Peer peer = mPeers.get(from);
        if (!advanced && peer != null && ahead(peer)) {
            avoid(from, nowNanos);
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
            avoid(from, nowNanos);
            return;
        }
        if (mAssembly == null || !mAssembly.matches(part)) {
            mAssembly = new SnapshotAssembly(part.revision(), part.checksum(), part.count());
        }
        mAssembly.add(part.index(), part.data());
        mFetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        if (!mAssembly.complete()) {
            out.send(from, new FetchPart(part.revision(), mAssembly.firstMissing()));
            return;
        }
        Optional<SettingsState> state = mAssembly.restore();
        if (state.isEmpty()) {
            avoid(from, nowNanos);
        } else {
            endFetch();
            mReplica.install(state.get(), from, out);
        }
        fetch(nowNanos, out);
    }

    private static final class Peer {
        private final long mIncarnation;
        private long mRevision;
        private long mAvoidUntilNanos;

        Peer(long incarnation) {
            mIncarnation = incarnation;
        }
    }
}
