package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/**
 * A process's right to use its shares of one shard of customers.
 *
 * <p>The right ends a fixed time after the process sent the last heartbeat that another process of
 * the same epoch confirmed, by its own clock. The only holder of an epoch renews its own. Not
 * thread-safe.
 */
final class ShardLease {
    /** For how long a confirmed heartbeat gives the right to use shares. */
    static final long LEASE_NANOS = 5_000_000_000L;

    private static final long BEAT_NANOS = 1_000_000_000L;
    private static final long LATE_NANOS = 2_000_000_000L;
    private static final int WITNESSES = 2;

    private final int mShard;
    private final Holder mSelf;
    private long mEpoch;
    private boolean mLapsed;
    private Holder mOwner;
    private List<Holder> mHolders = List.of();
    private long mValidUntil;
    private long mAdoptedAt;
    private long mBeatAt;
    private int mNextWitness;

    ShardLease(int shard, Holder self) {
        mShard = shard;
        mSelf = self;
    }

    /**
     * Follows a new epoch.
     *
     * @return whether the epoch is newer than the one followed before
     */
    boolean adopt(ShareMessage.Adopt adopt, long nowNanos) {
        if (adopt.epoch() <= mEpoch || !has(adopt.holders(), mSelf)) {
            return false;
        }
        if (!isValid(nowNanos)) {
            mValidUntil = 0;
        }
        mEpoch = adopt.epoch();
        mLapsed = false;
        mOwner = adopt.owner();
        mHolders = adopt.holders();
        mAdoptedAt = nowNanos;
        mBeatAt = nowNanos;
        renewAlone(nowNanos);
        return true;
    }

    /** Returns whether a process that follows the given epoch may be confirmed. */
    boolean confirms(Holder holder, long epoch) {
        return epoch == mEpoch && !mLapsed && has(mHolders, holder);
    }

    long epoch() {
        return mEpoch;
    }

    /** Returns whether messages of an epoch may change the share. */
    boolean follows(long epoch) {
        return epoch == mEpoch && !mLapsed;
    }

    List<Holder> holders() {
        return mHolders;
    }

    /** Returns whether shares may be used now. */
    boolean isValid(long nowNanos) {
        return nowNanos < mValidUntil && !mLapsed;
    }

    /** Renews the lease from the moment at which the confirmed heartbeat was sent. */
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
     * Sends heartbeats and ends a lease that has run out.
     *
     * @return whether all shares are lost now; the epoch is then not followed any more
     */
    boolean tick(long nowNanos, Outbox out) {
        if (mEpoch == 0 || mLapsed) {
            return false;
        }
        if (nowNanos >= Math.max(mValidUntil, mAdoptedAt + LEASE_NANOS)) {
            mLapsed = true;
            return true;
        }
        renewAlone(nowNanos);
        if (nowNanos >= mBeatAt) {
            mBeatAt = nowNanos + BEAT_NANOS;
            beat(nowNanos, out);
        }
        return false;
    }

    private void beat(long nowNanos, Outbox out) {
        ShareMessage beat = new ShareMessage.Heartbeat(mShard, mEpoch, nowNanos);
        List<NodeId> others = new ArrayList<>();
        for (Holder holder : mHolders) {
            if (!holder.id().equals(mSelf.id()) && !holder.id().equals(mOwner.id())) {
                others.add(holder.id());
            }
        }
        boolean owns = mOwner.id().equals(mSelf.id());
        if (!owns) {
            out.send(mOwner.id(), beat);
        }
        boolean late = nowNanos - (mValidUntil - LEASE_NANOS) > LATE_NANOS;
        int witnesses = Math.min(others.size(), owns || late ? WITNESSES : 0);
        for (int i = 0; i < witnesses; i++) {
            mNextWitness = (mNextWitness + 1) % others.size();
            out.send(others.get(mNextWitness), beat);
        }
    }

    private void renewAlone(long nowNanos) {
        if (mHolders.size() == 1) {
            mValidUntil = nowNanos + LEASE_NANOS;
        }
    }

    private static boolean has(List<Holder> holders, Holder holder) {
        for (Holder it : holders) {
            if (it.id().equals(holder.id()) && it.incarnation() == holder.incarnation()) {
                return true;
            }
        }
        return false;
    }
}
