package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/**
 * A process's lease of its shares of one shard of customers; without it the shares may not be used.
 *
 * <p>The lease ends {@link #LEASE_NANOS} after the process sent the last heartbeat that another
 * holder of the same epoch has confirmed, by the process's own clock. The only holder of an epoch
 * renews its lease itself. Not thread-safe.
 */
final class ShardLease {
    /** How long after a confirmed heartbeat was sent the lease is valid. */
    static final long LEASE_NANOS = 5_000_000_000L;

    private static final long HEARTBEAT_INTERVAL_NANOS = 1_000_000_000L;

    /** Age of the last confirmed heartbeat from which heartbeats go to other holders too. */
    private static final long OVERDUE_NANOS = 2_000_000_000L;

    /** Maximum number of holders besides the owner that a heartbeat goes to. */
    private static final int MAX_FURTHER_RECIPIENTS = 2;

    private final int mShard;
    private final Holder mSelf;
    private long mEpoch;
    private boolean mExpired;
    private Holder mOwner;
    private List<Holder> mHolders = List.of();
    private long mValidUntil;
    private long mAdoptedAt;
    private long mNextHeartbeatAt;
    private int mLastRecipient;

    ShardLease(int shard, Holder self) {
        mShard = shard;
        mSelf = self;
    }

    /**
     * Follows a new epoch if this process is one of its holders.
     *
     * @return whether the epoch is newer than the last one and names this process
     */
    boolean adopt(ShareMessage.Adopt adopt, long nowNanos) {
        if (adopt.epoch() <= mEpoch || !contains(adopt.holders(), mSelf)) {
            return false;
        }
        if (!isValid(nowNanos)) {
            mValidUntil = 0;
        }
        mEpoch = adopt.epoch();
        mExpired = false;
        mOwner = adopt.owner();
        mHolders = adopt.holders();
        mAdoptedAt = nowNanos;
        mNextHeartbeatAt = nowNanos;
        renewIfOnlyHolder(nowNanos);
        return true;
    }

    /** Returns whether this process may confirm a heartbeat of a holder that follows an epoch. */
    boolean canConfirm(Holder holder, long epoch) {
        return epoch == mEpoch && !mExpired && contains(mHolders, holder);
    }

    long epoch() {
        return mEpoch;
    }

    /** Returns whether this process follows an epoch, whose messages may then change its shares. */
    boolean follows(long epoch) {
        return epoch == mEpoch && !mExpired;
    }

    List<Holder> holders() {
        return mHolders;
    }

    /** Returns whether shares may be used now. */
    boolean isValid(long nowNanos) {
        return nowNanos < mValidUntil && !mExpired;
    }

    /** Renews the lease, counted from when the confirmed heartbeat was sent. */
    void onAck(ShareMessage.HeartbeatAck ack) {
        if (follows(ack.epoch())) {
            mValidUntil = Math.max(mValidUntil, ack.sentNanos() + LEASE_NANOS);
        }
    }

    /** Returns the owner, null if none is known. */
    Holder owner() {
        return mOwner;
    }

    /**
     * Sends due heartbeats, and ends an expired lease.
     *
     * @return whether the lease has expired now; all shares are lost, and the epoch is not followed
     *     any more
     */
    boolean tick(long nowNanos, Outbox out) {
        if (mEpoch == 0 || mExpired) {
            return false;
        }
        if (nowNanos >= Math.max(mValidUntil, mAdoptedAt + LEASE_NANOS)) {
            mExpired = true;
            return true;
        }
        renewIfOnlyHolder(nowNanos);
        if (nowNanos >= mNextHeartbeatAt) {
            mNextHeartbeatAt = nowNanos + HEARTBEAT_INTERVAL_NANOS;
            sendHeartbeats(nowNanos, out);
        }
        return false;
    }

    private void renewIfOnlyHolder(long nowNanos) {
        if (mHolders.size() == 1) {
            mValidUntil = nowNanos + LEASE_NANOS;
        }
    }

    private void sendHeartbeats(long nowNanos, Outbox out) {
        ShareMessage heartbeat = new ShareMessage.Heartbeat(mShard, mEpoch, nowNanos);
        List<NodeId> others = new ArrayList<>();
        for (Holder holder : mHolders) {
            if (!holder.id().equals(mSelf.id()) && !holder.id().equals(mOwner.id())) {
                others.add(holder.id());
            }
        }
        boolean isOwner = mOwner.id().equals(mSelf.id());
        if (!isOwner) {
            out.send(mOwner.id(), heartbeat);
        }
        boolean overdue = nowNanos - (mValidUntil - LEASE_NANOS) > OVERDUE_NANOS;
        int recipients = Math.min(others.size(), isOwner || overdue ? MAX_FURTHER_RECIPIENTS : 0);
        for (int i = 0; i < recipients; i++) {
            mLastRecipient = (mLastRecipient + 1) % others.size();
            out.send(others.get(mLastRecipient), heartbeat);
        }
    }

    private static boolean contains(List<Holder> holders, Holder holder) {
        for (Holder other : holders) {
            if (other.id().equals(holder.id()) && other.incarnation() == holder.incarnation()) {
                return true;
            }
        }
        return false;
    }
}
