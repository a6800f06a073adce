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

/** What a process knows of the other entry processes. Not thread-safe. */
final class Peers {
    private static final long LOST_NANOS = 1_000_000_000L;

    private final Holder mSelf;
    private final Locality mLocality;
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();
    private List<NodeId> mLinked;

    Peers(NodeId self, long incarnation, Locality locality) {
        mSelf = new Holder(self, incarnation, false);
        mLocality = locality;
    }

    void onDown(NodeId id, long incarnation, long nowNanos) {
        Peer peer = mPeers.get(id);
        if (peer != null && peer.mUp && peer.mIncarnation == incarnation) {
            peer.mUp = false;
            mLinked = null;
            peer.mDownAt = nowNanos;
        }
    }

    void onHeard(NodeId id, long incarnation, long nowNanos) {
        Peer peer = peer(id);
        if (peer.mIncarnation == incarnation) {
            peer.mHeardAt = nowNanos;
        }
    }

    void onMembers(Collection<Member> members) {
        mLinked = null;
        for (Member member : members) {
            if (member.role() != Role.ENTRY || member.id().equals(mSelf.id())) {
                continue;
            }
            Peer peer = peer(member.id());
            peer.mMember = true;
            peer.mState = member.state();
            peer.mNear = nearness(member.locality());
            if (member.incarnation() > peer.mNewest) {
                peer.mNewest = member.incarnation();
            }
        }
    }

    void onUp(NodeId id, long incarnation, long nowNanos) {
        Peer peer = peer(id);
        if (incarnation < peer.mIncarnation) {
            return;
        }
        peer.mIncarnation = incarnation;
        peer.mNewest = Math.max(peer.mNewest, incarnation);
        peer.mUp = true;
        mLinked = null;
        peer.mHeardAt = nowNanos;
    }

    /** Returns entry processes that are linked, nearest first. */
    List<NodeId> linked() {
        if (mLinked != null) {
            return mLinked;
        }
        List<NodeId> all = new ArrayList<>();
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mUp && peer.mMember) {
                        all.add(id);
                    }
                });
        all.sort(Comparator.comparingInt(id -> mPeers.get(id).mNear));
        mLinked = all;
        return all;
    }

    /** Returns this process and all that can hold shares now: linked and not leaving. */
    List<Holder> live() {
        List<Holder> all = new ArrayList<>();
        all.add(mSelf);
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mUp && peer.mMember && peer.staying()) {
                        all.add(new Holder(id, peer.mIncarnation, false));
                    }
                });
        return all;
    }

    /** Returns this process and all that are linked, also those that are leaving. */
    List<Holder> reachable() {
        List<Holder> all = new ArrayList<>();
        all.add(mSelf);
        mPeers.forEach(
                (id, peer) -> {
                    if (peer.mUp && peer.mMember && peer.mState != MemberState.GONE) {
                        all.add(new Holder(id, peer.mIncarnation, false));
                    }
                });
        return all;
    }

    /** Returns whether a process says or is said to stop. */
    boolean isLeaving(Holder holder) {
        Peer peer = mPeers.get(holder.id());
        return peer != null && peer.mState == MemberState.LEAVING;
    }

    /** Returns whether a process is not there any more, or not in that incarnation. */
    boolean lost(Holder holder, long nowNanos) {
        if (isSelf(holder)) {
            return false;
        }
        Peer peer = mPeers.get(holder.id());
        return peer == null
                || peer.mNewest > holder.incarnation()
                || peer.mState == MemberState.GONE
                || !peer.mUp && nowNanos - peer.mDownAt > LOST_NANOS;
    }

    /** Returns whether a process is linked and stays. */
    boolean isLive(Holder holder) {
        Peer peer = mPeers.get(holder.id());
        return isSelf(holder)
                || peer != null
                        && peer.mUp
                        && peer.staying()
                        && peer.mIncarnation == holder.incarnation();
    }

    boolean isSelf(Holder holder) {
        return holder.id().equals(mSelf.id()) && holder.incarnation() == mSelf.incarnation();
    }

    /** Returns since when a process has been silent, in nanoseconds. */
    long silence(NodeId id, long nowNanos) {
        Peer peer = mPeers.get(id);
        return peer == null ? Long.MAX_VALUE : nowNanos - peer.mHeardAt;
    }

    /** Returns the incarnation of a process on its link, 0 if it was never linked. */
    long incarnation(NodeId id) {
        return id.equals(mSelf.id()) ? mSelf.incarnation() : peer(id).mIncarnation;
    }

    /**
     * Returns whether a process surely runs no more in that incarnation: a newer one of the same
     * name was seen, or the platform does not list it any more.
     */
    boolean provenGone(Holder holder) {
        if (holder.id().equals(mSelf.id())) {
            return holder.incarnation() < mSelf.incarnation();
        }
        Peer peer = mPeers.get(holder.id());
        return peer != null
                && (peer.mNewest > holder.incarnation()
                        || !peer.mUp && peer.mState == MemberState.GONE);
    }

    /** Returns how many live processes come before this one in the order of a shard's owners. */
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

    static long weight(int shard, NodeId id) {
        return LongHashFunction.xx(shard).hashChars(id.name()) >>> 1;
    }

    private int nearness(Locality other) {
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
        private long mNewest;
        private boolean mUp;
        private boolean mMember;
        private MemberState mState = MemberState.LIVE;
        private int mNear;
        private long mHeardAt;
        private long mDownAt;

        private boolean staying() {
            return mState != MemberState.LEAVING && mState != MemberState.GONE;
        }
    }
}
