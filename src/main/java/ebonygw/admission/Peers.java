package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * What an entry process knows of the other entry processes: their incarnations, membership states
 * and connections.
 *
 * <p>Not thread-safe.
 */
final class Peers {
    private static final long LOST_TIMEOUT_NANOS = 1_000_000_000L;

    private final Holder mSelf;
    private final Locality mLocality;
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();

    /** Cached result of {@link #connected}, null if out of date. */
    private List<NodeId> mConnectedIds;

    Peers(NodeId self, long incarnation, Locality locality) {
        mSelf = new Holder(self, incarnation, false);
        mLocality = locality;
    }

    void onDown(NodeId id, long incarnation, long nowNanos) {
        Peer peer = mPeers.get(id);
        if (peer != null && peer.mConnected && peer.mIncarnation == incarnation) {
            peer.mConnected = false;
            mConnectedIds = null;
            peer.mDisconnectedAt = nowNanos;
        }
    }

    void onMembers(Collection<Member> members) {
        mConnectedIds = null;
        for (Member member : members) {
            if (member.role() != Role.ENTRY || member.id().equals(mSelf.id())) {
                continue;
            }
            Peer peer = peer(member.id());
            peer.mIsMember = true;
            peer.mState = member.state();
            peer.mDistance = distance(member.locality());
            if (member.incarnation() > peer.mNewestIncarnation) {
                peer.mNewestIncarnation = member.incarnation();
            }
        }
    }

    void onReceived(NodeId id, long incarnation, long nowNanos) {
        Peer peer = peer(id);
        if (peer.mIncarnation == incarnation) {
            peer.mReceivedAt = nowNanos;
        }
    }

    void onUp(NodeId id, long incarnation, long nowNanos) {
        Peer peer = peer(id);
        if (incarnation < peer.mIncarnation) {
            return;
        }
        peer.mIncarnation = incarnation;
        peer.mNewestIncarnation = Math.max(peer.mNewestIncarnation, incarnation);
        peer.mConnected = true;
        mConnectedIds = null;
        peer.mReceivedAt = nowNanos;
    }

    /** Returns the connected entry processes, nearest first. */
    List<NodeId> connected() {
        if (mConnectedIds != null) {
            return mConnectedIds;
        }
        List<NodeId> all = new ArrayList<>();
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mConnected && peer.mIsMember) {
                        all.add(id);
                    }
                });
        all.sort(Comparator.comparingInt(id -> mPeers.get(id).mDistance));
        mConnectedIds = all;
        return all;
    }

    /** Returns the processes that can hold shares: this and all connected ones, unless leaving. */
    List<Holder> live() {
        List<Holder> all = new ArrayList<>();
        all.add(mSelf);
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mConnected && peer.mIsMember && peer.isStaying()) {
                        all.add(new Holder(id, peer.mIncarnation, false));
                    }
                });
        return all;
    }

    /** Returns this process and all connected ones, including those that are leaving. */
    List<Holder> reachable() {
        List<Holder> all = new ArrayList<>();
        all.add(mSelf);
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mConnected && peer.mIsMember && peer.mState != MemberState.GONE) {
                        all.add(new Holder(id, peer.mIncarnation, false));
                    }
                });
        return all;
    }

    /** Returns whether a process is known to be leaving. */
    boolean isLeaving(Holder holder) {
        Peer peer = mPeers.get(holder.id());
        return peer != null && peer.mState == MemberState.LEAVING;
    }

    /**
     * Returns whether a process is gone, disconnected for too long, or replaced by a newer
     * incarnation.
     */
    boolean isLost(Holder holder, long nowNanos) {
        if (isSelf(holder)) {
            return false;
        }
        Peer peer = mPeers.get(holder.id());
        return peer == null
                || peer.mNewestIncarnation > holder.incarnation()
                || peer.mState == MemberState.GONE
                || !peer.mConnected && nowNanos - peer.mDisconnectedAt > LOST_TIMEOUT_NANOS;
    }

    /** Returns whether a process is connected in this incarnation and not leaving. */
    boolean isLive(Holder holder) {
        Peer peer = mPeers.get(holder.id());
        return isSelf(holder)
                || peer != null
                        && peer.mConnected
                        && peer.isStaying()
                        && peer.mIncarnation == holder.incarnation();
    }

    boolean isSelf(Holder holder) {
        return holder.id().equals(mSelf.id()) && holder.incarnation() == mSelf.incarnation();
    }

    /**
     * Returns the time since a process's last message, the maximum value for an unknown process.
     */
    long nanosSinceReceived(NodeId id, long nowNanos) {
        Peer peer = mPeers.get(id);
        return peer == null ? Long.MAX_VALUE : nowNanos - peer.mReceivedAt;
    }

    /** Returns the incarnation of a process's last connection, 0 if it was never connected. */
    long incarnation(NodeId id) {
        return id.equals(mSelf.id()) ? mSelf.incarnation() : peer(id).mIncarnation;
    }

    /**
     * Returns whether a process certainly no longer runs in this incarnation: a newer incarnation
     * was seen, or the platform does not list the process any more.
     */
    boolean isKnownStopped(Holder holder) {
        if (holder.id().equals(mSelf.id())) {
            return holder.incarnation() < mSelf.incarnation();
        }
        Peer peer = mPeers.get(holder.id());
        return peer != null
                && (peer.mNewestIncarnation > holder.incarnation()
                        || !peer.mConnected && peer.mState == MemberState.GONE);
    }

    /**
     * Returns how many live processes, other than {@code except}, precede this one in a shard's
     * order of preferred owners.
     *
     * @param except a process to leave out, may be null
     */
    int rank(int shard, Holder except) {
        long own = weight(shard, mSelf.id());
        int rank = 0;
        for (Holder holder : live()) {
            if (!holder.equals(except) && weight(shard, holder.id()) > own) {
                rank++;
            }
        }
        return rank;
    }

    Holder self() {
        return mSelf;
    }

    /** Returns a process's rendezvous-hash weight for a shard; owners are preferred by weight. */
    static long weight(int shard, NodeId id) {
        return LongHashFunction.xx(shard).hashChars(id.name()) >>> 1;
    }

    /** Returns 0 in the same data centre, 1 in the same region, else 2. */
    private int distance(Locality other) {
        if (mLocality.sameDataCenter(other)) {
            return 0;
        }
        return mLocality.sameRegion(other) ? 1 : 2;
    }

    private Peer peer(NodeId id) {
        return mPeers.computeIfAbsent(id, it -> new Peer());
    }

    private static final class Peer {
        private long mIncarnation;
        private long mNewestIncarnation;
        private boolean mConnected;
        private boolean mIsMember;
        private MemberState mState = MemberState.LIVE;
        private int mDistance;
        private long mReceivedAt;
        private long mDisconnectedAt;

        private boolean isStaying() {
            return mState != MemberState.LEAVING && mState != MemberState.GONE;
        }
    }
}
