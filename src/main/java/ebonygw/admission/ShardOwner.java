package ebonygw.admission;

import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * The ownership of one shard of customers: its election through a record in the key-value service,
 * and the owner's work while it lasts.
 *
 * <p>Each epoch names its owner and every process that may hold shares. The share of an
 * unresponsive process is freed only in an epoch that does not name it, after every other process
 * follows that epoch and the unresponsive process's lease has certainly expired. Not thread-safe.
 */
final class ShardOwner {
    static final String KEY_PREFIX = "shares/owner/";

    private static final int MAX_HOLDERS = 64;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long ADOPT_RESEND_INTERVAL_NANOS = 200_000_000L;
    private static final long REBALANCE_INTERVAL_NANOS = 200_000_000L;
    private static final long CHECK_INTERVAL_NANOS = 100_000_000L;
    private static final long RETRY_DELAY_NANOS = 1_000_000_000L;

    /** Age of a process's last message from which it counts as unresponsive. */
    private static final long UNRESPONSIVE_NANOS = 3_000_000_000L;

    /** How much later each further process by rank tries to become the owner. */
    private static final long RANK_DELAY_NANOS = 3_000_000_000L;

    /** Time in which the lease and the lent tokens of a process certainly expire. */
    private static final long SHARE_EXPIRY_NANOS =
            ClockDrift.withMargin(
                    ShardLease.LEASE_NANOS + ClockDrift.withMargin(Borrower.LOAN_VALIDITY_NANOS));

    private final int mShard;
    private final Peers mPeers;
    private final ShardLease mLease;
    private final KeyValueRequestIds mRequestIds;
    private final Function<String, Limits> mLimits;
    private final Map<String, Ledger> mLedgers = new LinkedHashMap<>();

    /** Holders that have reported their shares in the present epoch. */
    private final Set<Holder> mReported = new HashSet<>();

    /** When unresolved processes certainly hold nothing any more. */
    private final Map<Holder, Long> mShareExpiries = new HashMap<>();

    private boolean mOwning;

    /** Whether all processes that may hold shares have reported or expired in this epoch. */
    private boolean mComplete;

    /** Whether this process has owned the shard since its first epoch. */
    private boolean mFirstOwner;

    /** Whether the last write failed or its response was lost; the record is then read again. */
    private boolean mWriteOutcomeUnknown;

    /** The record in force, if this process is the owner. */
    private OwnerRecord mRecord;

    private long mCompleteAt;
    private long mAdoptSentAt;
    private long mRebalancedAt;
    private long mCheckedAt;
    private long mRetryAt;
    private long mStartedAt;
    private long mReadRequestId;
    private long mWriteRequestId;
    private long mReleaseRequestId;

    /** The record last written, whether or not the write succeeded. */
    private OwnerRecord mWrittenRecord;

    ShardOwner(
            int shard,
            Peers peers,
            ShardLease lease,
            KeyValueRequestIds requestIds,
            Function<String, Limits> limits) {
        mShard = shard;
        mPeers = peers;
        mLease = lease;
        mRequestIds = requestIds;
        mLimits = limits;
    }

    /** Returns the state for a dump. */
    String describe() {
        return mOwning ? "owner settled=" + mComplete + " ledgers=" + mLedgers.size() : "none";
    }

    boolean isOwner() {
        return mOwning;
    }

    /** Returns the ledger of a customer, null if this process does not own it. */
    Ledger ledger(String customer, long nowNanos) {
        if (!mOwning) {
            return null;
        }
        return mLedgers.computeIfAbsent(customer, it -> newLedger(it, nowNanos));
    }

    /** Returns a customer's free tokens for a dump, null if this process has no ledger of it. */
    String describeFree(String customer) {
        Ledger ledger = mOwning ? mLedgers.get(customer) : null;
        return ledger == null ? null : ledger.describeFree();
    }

    void onAdopted(Holder from, ShareMessage.Adopted adopted, long nowNanos) {
        if (!mOwning || adopted.epoch() != mRecord.mEpoch || !mRecord.mHolders.contains(from)) {
            return;
        }
        if (!mReported.add(from)) {
            return;
        }
        Map<String, Holding> holdings = new LinkedHashMap<>();
        adopted.holdings().forEach(it -> holdings.put(it.customer(), it));
        holdings.keySet().forEach(customer -> ledger(customer, nowNanos));
        mLedgers.forEach(
                (customer, ledger) -> {
                    Holding none = new Holding(customer, 0, 0);
                    ledger.onAdopted(from, holdings.getOrDefault(customer, none), nowNanos);
                });
    }

    void onAssigned(Holder from, ShareMessage.Assigned assigned, long nowNanos) {
        Ledger ledger = mLedgers.get(assigned.customer());
        if (mOwning && assigned.epoch() == mRecord.mEpoch && ledger != null) {
            ledger.onAssigned(from, assigned, nowNanos);
        }
    }

    void onDemand(Holder from, ShareMessage.Demand demand, long nowNanos) {
        Ledger ledger = ledger(demand.customer(), nowNanos);
        if (ledger != null) {
            ledger.onDemand(from, demand, nowNanos);
        }
    }

    /**
     * Applies a response of the key-value service; returns whether the request was this shard's.
     */
    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos, Outbox out) {
        if (requestId == mReadRequestId) {
            mReadRequestId = 0;
            if (response instanceof KeyValueResponse.RangeResult found) {
                onRecordRead(found, nowNanos, out);
            } else {
                mRetryAt = nowNanos + RETRY_DELAY_NANOS;
            }
            return true;
        }
        if (requestId == mReleaseRequestId) {
            mReleaseRequestId = 0;
            if (response instanceof KeyValueResponse.TransactionResult committed
                    && committed.succeeded()) {
                resign();
            }
            return true;
        }
        if (requestId == mWriteRequestId) {
            mWriteRequestId = 0;
            if (response instanceof KeyValueResponse.TransactionResult committed
                    && committed.succeeded()) {
                onRecordWritten(mWrittenRecord, committed.revision(), nowNanos);
            } else {
                mWriteOutcomeUnknown = true;
                mRetryAt = nowNanos + RETRY_DELAY_NANOS / 4;
            }
            return true;
        }
        return false;
    }

    void onLimits(long nowNanos) {
        mLedgers.forEach((customer, ledger) -> ledger.onLimits(mLimits.apply(customer), nowNanos));
    }

    /** Drops the ownership, because a newer epoch has another owner or the record was released. */
    void resign() {
        mOwning = false;
        mLedgers.clear();
        mReported.clear();
        mShareExpiries.clear();
        mFirstOwner = false;
    }

    void tick(boolean stopping, long nowNanos, Outbox out) {
        if (mStartedAt == 0) {
            mStartedAt = nowNanos;
        }
        if (mOwning) {
            tickOwner(nowNanos, out);
        }
        if (stopping && mOwning && mPeers.reachable().size() == 1) {
            releaseOwnership(nowNanos, out);
            return;
        }
        boolean idle = mReadRequestId == 0 && mWriteRequestId == 0 && nowNanos >= mRetryAt;
        if (idle && nowNanos - mCheckedAt >= CHECK_INTERVAL_NANOS) {
            mCheckedAt = nowNanos;
            boolean needed = mOwning ? needsNewEpoch(nowNanos) : isCandidate(nowNanos);
            if (mWriteOutcomeUnknown || needed && (mOwning || !stopping)) {
                mReadRequestId = mRequestIds.next();
                out.sendKeyValueRequest(
                        mReadRequestId, new KeyValueRequest.Range(KEY_PREFIX + mShard, "", 0));
            }
        }
    }

    /**
     * Returns the tokens of a new ledger: those accrued since all holders were accounted for, or
     * the whole burst for the shard's first owner.
     */
    private long accruedTokens(Limits limits, long nowNanos) {
        if (mFirstOwner) {
            return limits.burst();
        }
        double seconds = Math.max(0, nowNanos - mCompleteAt) / (double) NANOS_PER_SECOND;
        return (long) Math.min(limits.burst(), ClockDrift.reduceRate(limits.rate()) * seconds);
    }

    private void freeUnreported(long nowNanos) {
        mComplete = true;
        mCompleteAt = nowNanos;
        for (Ledger ledger : mLedgers.values()) {
            boolean first = mFirstOwner && !ledger.wasComplete();
            ledger.freeUnreported(first ? mLimits.apply(ledger.customer()).burst() : 0, nowNanos);
        }
    }

    /**
     * Returns whether this process should try to become the owner: it was the last one itself, or
     * the owner is unknown, leaving or unresponsive, and it is this process's turn by rank.
     */
    private boolean isCandidate(long nowNanos) {
        Holder owner = mLease.owner();
        if (owner == null) {
            long rankDelay = mPeers.rank(mShard, null) * RANK_DELAY_NANOS;
            return nowNanos - mStartedAt >= rankDelay;
        }
        if (mPeers.isSelf(owner)) {
            return true;
        }
        long rankDelay = mPeers.rank(mShard, owner) * RANK_DELAY_NANOS;
        if (!mPeers.isLive(owner)) {
            return mPeers.nanosSinceReceived(owner.id(), nowNanos) > RETRY_DELAY_NANOS + rankDelay
                    || rankDelay == 0
                            && (mPeers.isLeaving(owner) || mPeers.isLost(owner, nowNanos));
        }
        return mPeers.nanosSinceReceived(owner.id(), nowNanos) > UNRESPONSIVE_NANOS + rankDelay;
    }

    /** Returns whether more of an epoch's holders may run unreachable than are reachable. */
    private boolean isMinority(OwnerRecord record) {
        List<Holder> reachable = mPeers.reachable();
        int reached = 0;
        int unreached = 0;
        for (Holder holder : record.mHolders) {
            if (reachable.contains(holder)) {
                reached++;
            } else if (!mPeers.isKnownStopped(holder)) {
                unreached++;
            }
        }
        return reached < unreached;
    }

    private boolean isUnresponsive(Holder holder, long nowNanos) {
        if (mPeers.isSelf(holder)) {
            return false;
        }
        boolean timedOut = mPeers.nanosSinceReceived(holder.id(), nowNanos) > UNRESPONSIVE_NANOS;
        return timedOut || mPeers.isLost(holder, nowNanos);
    }

    /**
     * Returns whether holders have to leave or join, or this process does not follow its own epoch.
     */
    private boolean needsNewEpoch(long nowNanos) {
        for (Holder holder : mRecord.mHolders) {
            if (isUnresponsive(holder, nowNanos)) {
                return true;
            }
        }
        if (!mLease.follows(mRecord.mEpoch)) {
            return true;
        }
        for (Holder holder : mPeers.live()) {
            if (!mRecord.mHolders.contains(holder) && mRecord.mHolders.size() < MAX_HOLDERS) {
                return true;
            }
        }
        return false;
    }

    private Ledger newLedger(String customer, long nowNanos) {
        Limits limits = mLimits.apply(customer);
        Ledger ledger = new Ledger(customer, limits);
        Holding none = new Holding(customer, 0, 0);
        mReported.forEach(holder -> ledger.onAdopted(holder, none, nowNanos));
        if (mComplete) {
            ledger.freeUnreported(accruedTokens(limits, nowNanos), nowNanos);
        }
        return ledger;
    }

    private void onRecordRead(KeyValueResponse.RangeResult found, long nowNanos, Outbox out) {
        if (found.entries().isEmpty()) {
            writeNewEpoch(null, 0, nowNanos, out);
            return;
        }
        KeyValueResponse.Entry entry = found.entries().get(0);
        OwnerRecord record;
        try {
            record = OwnerRecord.parse(entry.value().toByteArray());
        } catch (InvalidProtocolBufferException e) {
            Logger.error(e, "event=shares_record_unreadable shard={}", mShard);
            mRetryAt = nowNanos + RETRY_DELAY_NANOS;
            return;
        }
        if (mWrittenRecord != null
                && record.mNonce == mWrittenRecord.mNonce
                && !mWrittenRecord.hasNonceOf(mRecord)) {
            mWriteOutcomeUnknown = false;
            onRecordWritten(mWrittenRecord, entry.modRevision(), nowNanos);
            return;
        }
        mWriteOutcomeUnknown = false;
        boolean ownedHere = mPeers.isSelf(record.mOwner);
        if (mOwning && (!ownedHere || record.mNonce != mRecord.mNonce)) {
            resign();
        }
        if (mOwning) {
            mRecord.mModRevision = entry.modRevision();
            if (!needsNewEpoch(nowNanos)) {
                return;
            }
        }
        if (isMinority(record)) {
            mRetryAt = nowNanos + RETRY_DELAY_NANOS;
            return;
        }
        boolean live = !ownedHere && mPeers.isLive(record.mOwner);
        boolean responsive =
                mPeers.nanosSinceReceived(record.mOwner.id(), nowNanos) <= UNRESPONSIVE_NANOS;
        boolean newToThisProcess = mLease.owner() == null || !mLease.owner().equals(record.mOwner);
        if (live && (responsive || newToThisProcess)) {
            mRetryAt = nowNanos + UNRESPONSIVE_NANOS;
            return;
        }
        writeNewEpoch(record, entry.modRevision(), nowNanos, out);
    }

    private void onRecordWritten(OwnerRecord record, long modRevision, long nowNanos) {
        record.mModRevision = modRevision;
        if (record.mKeepsEpoch) {
            if (mOwning && record.hasNonceOf(mRecord)) {
                onResolved(record, nowNanos);
            }
            return;
        }
        mRetryAt = nowNanos + 2 * RETRY_DELAY_NANOS;
        if (!record.mKeepsOwner) {
            mLedgers.clear();
            mShareExpiries.clear();
        }
        mShareExpiries.keySet().retainAll(record.mUnresolved);
        mLedgers.values().forEach(Ledger::startEpoch);
        mOwning = true;
        mRecord = record;
        mFirstOwner = record.mIsFirst || mFirstOwner && record.mKeepsOwner;
        mReported.clear();
        mComplete = false;
        mAdoptSentAt = 0;
        Logger.info(
                "event=shares_epoch shard={} epoch={} holders={} unresolved={}",
                mShard,
                record.mEpoch,
                record.mHolders.size(),
                record.mUnresolved.size());
    }

    private void rebalance(long nowNanos, Outbox out) {
        List<Holder> order = new ArrayList<>(mRecord.mHolders);
        Set<Holder> holders = new HashSet<>(mReported);
        for (Map.Entry<String, Ledger> entry : mLedgers.entrySet()) {
            String customer = entry.getKey();
            order.sort(Comparator.comparingLong(it -> Peers.weight(customer.hashCode(), it.id())));
            entry.getValue().tick(holders, order, nowNanos, out, mRecord.mEpoch);
        }
    }

    /**
     * Releases the ownership on a stop if no other process can take it over: the record names no
     * holders then, only the processes that may still hold shares of earlier epochs.
     */
    private void releaseOwnership(long nowNanos, Outbox out) {
        boolean busy = mReadRequestId != 0 || mWriteRequestId != 0 || mReleaseRequestId != 0;
        if (busy || nowNanos < mRetryAt) {
            return;
        }
        mRetryAt = nowNanos + RETRY_DELAY_NANOS;
        Set<Holder> others = new HashSet<>(mRecord.mHolders);
        others.remove(mPeers.self());
        others.addAll(mRecord.mUnresolved);
        writeRecord(mRecord.released(others), mRecord.mModRevision, out);
        mReleaseRequestId = mWriteRequestId;
        mWriteRequestId = 0;
    }

    /**
     * Frees what expired unresponsive processes held.
     *
     * <p>The record is written first. If the write succeeds, no later epoch began before the leases
     * of these processes expired, in which their heartbeats could have been confirmed.
     */
    private void resolveExpired(long nowNanos, Outbox out) {
        if (!mReported.containsAll(mRecord.mExpectedReporters)) {
            return;
        }
        Set<Holder> unresolved = new HashSet<>(mRecord.mUnresolved);
        unresolved.removeIf(it -> nowNanos >= mShareExpiries.getOrDefault(it, Long.MAX_VALUE));
        boolean busy =
                mReadRequestId != 0
                        || mWriteRequestId != 0
                        || mWriteOutcomeUnknown
                        || nowNanos < mRetryAt;
        if (unresolved.size() < mRecord.mUnresolved.size() && !busy) {
            mWrittenRecord = mRecord.resolved(unresolved);
            writeRecord(mWrittenRecord, mRecord.mModRevision, out);
        }
        if (mRecord.mUnresolved.isEmpty()) {
            freeUnreported(nowNanos);
        }
    }

    private void onResolved(OwnerRecord record, long nowNanos) {
        mRecord = record;
        Set<Holder> holders = new HashSet<>(record.mHolders);
        record.mUnresolved.forEach(it -> holders.add(new Holder(it.id(), it.incarnation(), false)));
        mLedgers.values().forEach(ledger -> ledger.retain(holders, nowNanos));
    }

    /**
     * Starts the time after which an unresponsive process certainly holds nothing.
     *
     * <p>It starts once every other process follows an epoch that does not name the unresponsive
     * one, so that none of them confirms its heartbeats any more. It does not start for two
     * unresponsive processes that may both run, since they could confirm each other's heartbeats,
     * nor for one that was the only holder, since that renews its lease itself.
     */
    private void startExpiries(long nowNanos) {
        if (!mReported.containsAll(mRecord.mExpectedReporters)) {
            return;
        }
        long expiry = nowNanos + SHARE_EXPIRY_NANOS;
        int possibleConfirmers = 0;
        for (Holder holder : mRecord.mUnresolved) {
            boolean stopped = mPeers.isKnownStopped(holder);
            possibleConfirmers += stopped ? 0 : 1;
            possibleConfirmers += !stopped && holder.alone() ? 1 : 0;
        }
        for (Holder holder : mRecord.mUnresolved) {
            if (possibleConfirmers <= 1 || mPeers.isKnownStopped(holder)) {
                mShareExpiries.putIfAbsent(holder, expiry);
            }
        }
    }

    private void tickOwner(long nowNanos, Outbox out) {
        if (nowNanos - mAdoptSentAt >= ADOPT_RESEND_INTERVAL_NANOS) {
            mAdoptSentAt = nowNanos;
            ShareMessage adopt =
                    new ShareMessage.Adopt(
                            mShard, mRecord.mEpoch, mRecord.mOwner, List.copyOf(mRecord.mHolders));
            for (Holder holder : mRecord.mHolders) {
                if (!mReported.contains(holder)) {
                    out.send(holder.id(), adopt);
                }
            }
        }
        if (!mComplete) {
            startExpiries(nowNanos);
            resolveExpired(nowNanos, out);
        }
        if (nowNanos - mRebalancedAt >= REBALANCE_INTERVAL_NANOS) {
            mRebalancedAt = nowNanos;
            rebalance(nowNanos, out);
        }
    }

    /** Writes the record of the next epoch with this process as its owner. */
    private void writeNewEpoch(OwnerRecord previous, long modRevision, long nowNanos, Outbox out) {
        List<Holder> holders = new ArrayList<>(mPeers.reachable());
        if (previous != null && mOwning) {
            holders.removeIf(it -> previous.mHolders.contains(it) && isUnresponsive(it, nowNanos));
        }
        holders.sort(Comparator.comparingLong(it -> -Peers.weight(mShard, it.id())));
        holders.remove(mPeers.self());
        holders.add(0, mPeers.self());
        OwnerRecord next = new OwnerRecord();
        next.mEpoch = previous == null ? 1 : previous.mEpoch + 1;
        next.mNonce = mRequestIds.next() ^ nowNanos;
        next.mOwner = mPeers.self();
        next.mHolders.addAll(holders.subList(0, Math.min(MAX_HOLDERS, holders.size())));
        next.mIsFirst = previous == null;
        next.mKeepsOwner = previous != null && mOwning && previous.mNonce == mRecord.mNonce;
        if (previous != null) {
            next.addUnresolved(previous);
        }
        mWrittenRecord = next;
        writeRecord(next, modRevision, out);
    }

    private void writeRecord(OwnerRecord record, long modRevision, Outbox out) {
        String key = KEY_PREFIX + mShard;
        mWriteRequestId = mRequestIds.next();
        out.sendKeyValueRequest(
                mWriteRequestId,
                new KeyValueRequest.Transaction(
                        List.of(new KeyValueRequest.Compare(key, modRevision)),
                        List.of(new KeyValueRequest.Write(key, record.toBytes(), 0))));
    }
}
