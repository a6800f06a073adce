package ebonygw.admission;

import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Terms;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
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
 * The ownership of one shard of customers: its election through the key-value service, and what the
 * owner does while it lasts.
 *
 * <p>Each epoch names its owner and every process that may hold shares. A share of a process that
 * does not answer comes back only in an epoch that does not name it, after every other process
 * follows that epoch and the silent one's lease has surely run out. Not thread-safe.
 */
final class ShardOwner {
    static final String KEY_PREFIX = "shares/owner/";

    private static final int MOST_HOLDERS = 64;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long ADOPT_RESEND_NANOS = 200_000_000L;
    private static final long REBALANCE_NANOS = 200_000_000L;
    private static final long WATCH_NANOS = 100_000_000L;
    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long SILENT_NANOS = 3_000_000_000L;
    private static final long RANK_NANOS = 3_000_000_000L;
    private static final long SILENCE_ENDS_NANOS =
            Clocks.waitingOut(ShardLease.LEASE_NANOS + Clocks.waitingOut(Borrower.LOAN_NANOS));

    private final int mShard;
    private final Peers mPeers;
    private final ShardLease mLease;
    private final CallIds mCallIds;
    private final Function<String, Terms> mTerms;
    private final Map<String, Ledger> mLedgers = new LinkedHashMap<>();
    private final Set<Holder> mReported = new HashSet<>();
    private final Map<Holder, Long> mExpiries = new HashMap<>();

    private boolean mOwning;
    private boolean mSettled;
    private boolean mFresh;
    private boolean mUnsure;
    private Claim mRecord;
    private long mSettledAt;
    private long mAdoptSentAt;
    private long mRebalancedAt;
    private long mWatchedAt;
    private long mNextTryAt;
    private long mStartedAt;
    private long mReadCall;
    private long mWriteCall;
    private long mReleaseCall;
    private Claim mClaim;

    ShardOwner(
            int shard,
            Peers peers,
            ShardLease lease,
            CallIds callIds,
            Function<String, Terms> terms) {
        mShard = shard;
        mPeers = peers;
        mLease = lease;
        mCallIds = callIds;
        mTerms = terms;
    }

    /** Returns the state for a dump. */
    String describe() {
        return mOwning ? "owner settled=" + mSettled + " ledgers=" + mLedgers.size() : "none";
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

    /** Returns the tokens that nobody holds, for a dump; null if this process does not own them. */
    String free(String customer) {
        Ledger ledger = mOwning ? mLedgers.get(customer) : null;
        return ledger == null ? null : ledger.free();
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

    /** Takes in a reply of the key-value service; returns whether it was this shard's. */
    boolean onReply(long callId, KeyValueReply reply, long nowNanos, Outbox out) {
        if (callId == mReadCall) {
            mReadCall = 0;
            if (reply instanceof KeyValueReply.Found found) {
                onRecord(found, nowNanos, out);
            } else {
                mNextTryAt = nowNanos + RETRY_NANOS;
            }
            return true;
        }
        if (callId == mReleaseCall) {
            mReleaseCall = 0;
            if (reply instanceof KeyValueReply.Committed committed && committed.succeeded()) {
                resign();
            }
            return true;
        }
        if (callId == mWriteCall) {
            mWriteCall = 0;
            if (reply instanceof KeyValueReply.Committed committed && committed.succeeded()) {
                onClaimed(mClaim, committed.revision(), nowNanos);
            } else {
                mUnsure = true;
                mNextTryAt = nowNanos + RETRY_NANOS / 4;
            }
            return true;
        }
        return false;
    }

    void onTerms(long nowNanos) {
        mLedgers.forEach((customer, ledger) -> ledger.onTerms(mTerms.apply(customer), nowNanos));
    }

    /** Gives the ownership up, because a newer epoch has another owner. */
    void resign() {
        mOwning = false;
        mLedgers.clear();
        mReported.clear();
        mExpiries.clear();
        mFresh = false;
    }

    void tick(boolean stopping, long nowNanos, Outbox out) {
        if (mStartedAt == 0) {
            mStartedAt = nowNanos;
        }
        if (mOwning) {
            own(nowNanos, out);
        }
        if (stopping && mOwning && mPeers.reachable().size() == 1) {
            release(nowNanos, out);
            return;
        }
        boolean idle = mReadCall == 0 && mWriteCall == 0 && nowNanos >= mNextTryAt;
        if (idle && nowNanos - mWatchedAt >= WATCH_NANOS) {
            mWatchedAt = nowNanos;
            boolean needed = mOwning ? needsNewEpoch(nowNanos) : isCandidate(nowNanos);
            if (mUnsure || needed && (mOwning || !stopping)) {
                mReadCall = mCallIds.next();
                out.keyValue(mReadCall, new KeyValueCall.Range(KEY_PREFIX + mShard, "", 0));
            }
        }
    }

    private void claim(Claim before, long modRevision, long nowNanos, Outbox out) {
        List<Holder> holders = new ArrayList<>(mPeers.reachable());
        if (before != null && mOwning) {
            holders.removeIf(it -> before.mHolders.contains(it) && isSilent(it, nowNanos));
        }
        holders.sort(Comparator.comparingLong(it -> -Peers.weight(mShard, it.id())));
        holders.remove(mPeers.self());
        holders.add(0, mPeers.self());
        Claim claim = new Claim();
        claim.mEpoch = before == null ? 1 : before.mEpoch + 1;
        claim.mNonce = mCallIds.next() ^ nowNanos;
        claim.mOwner = mPeers.self();
        claim.mHolders.addAll(holders.subList(0, Math.min(MOST_HOLDERS, holders.size())));
        claim.mFresh = before == null;
        claim.mContinued = before != null && mOwning && before.mNonce == mRecord.mNonce;
        if (before != null) {
            claim.addUnresolved(before);
        }
        mClaim = claim;
        write(claim, modRevision, out);
    }

    private boolean isCandidate(long nowNanos) {
        Holder owner = mLease.owner();
        if (owner == null) {
            long patience = mPeers.rank(mShard, null) * RANK_NANOS;
            return nowNanos - mStartedAt >= patience;
        }
        if (mPeers.isSelf(owner)) {
            return true;
        }
        long rank = mPeers.rank(mShard, owner) * RANK_NANOS;
        if (!mPeers.isLive(owner)) {
            return mPeers.silence(owner.id(), nowNanos) > RETRY_NANOS + rank
                    || rank == 0 && (mPeers.isLeaving(owner) || mPeers.lost(owner, nowNanos));
        }
        return mPeers.silence(owner.id(), nowNanos) > SILENT_NANOS + rank;
    }

    /** Returns whether most of an epoch's processes may run but cannot be reached. */
    private boolean isMinority(Claim record) {
        List<Holder> reachable = mPeers.reachable();
        int with = 0;
        int without = 0;
        for (Holder holder : record.mHolders) {
            if (reachable.contains(holder)) {
                with++;
            } else if (!mPeers.provenGone(holder)) {
                without++;
            }
        }
        return with < without;
    }

    private boolean isSilent(Holder holder, long nowNanos) {
        if (mPeers.isSelf(holder)) {
            return false;
        }
        boolean silent = mPeers.silence(holder.id(), nowNanos) > SILENT_NANOS;
        return silent || mPeers.lost(holder, nowNanos);
    }

    private boolean needsNewEpoch(long nowNanos) {
        for (Holder holder : mRecord.mHolders) {
            if (isSilent(holder, nowNanos)) {
                return true;
            }
        }
        if (!mLease.follows(mRecord.mEpoch)) {
            return true;
        }
        for (Holder holder : mPeers.live()) {
            if (!mRecord.mHolders.contains(holder) && mRecord.mHolders.size() < MOST_HOLDERS) {
                return true;
            }
        }
        return false;
    }

    private Ledger newLedger(String customer, long nowNanos) {
        Terms terms = mTerms.apply(customer);
        Ledger ledger = new Ledger(customer, terms);
        Holding none = new Holding(customer, 0, 0);
        mReported.forEach(holder -> ledger.onAdopted(holder, none, nowNanos));
        if (mSettled) {
            ledger.settle(firstTokens(terms, nowNanos), nowNanos);
        }
        return ledger;
    }

    /** Tokens that have accrued, unused by anyone, since all was known to be free. */
    private long firstTokens(Terms terms, long nowNanos) {
        if (mFresh) {
            return terms.burst();
        }
        double seconds = Math.max(0, nowNanos - mSettledAt) / (double) NANOS_PER_SECOND;
        return (long) Math.min(terms.burst(), Clocks.safeRate(terms.rate()) * seconds);
    }

    private void onClaimed(Claim claim, long modRevision, long nowNanos) {
        claim.mModRevision = modRevision;
        if (claim.mResolves) {
            if (mOwning && claim.isInForce(mRecord)) {
                onResolved(claim, nowNanos);
            }
            return;
        }
        mNextTryAt = nowNanos + 2 * RETRY_NANOS;
        if (!claim.mContinued) {
            mLedgers.clear();
            mExpiries.clear();
        }
        mExpiries.keySet().retainAll(claim.mUnresolved);
        mLedgers.values().forEach(Ledger::startEpoch);
        mOwning = true;
        mRecord = claim;
        mFresh = claim.mFresh || mFresh && claim.mContinued;
        mReported.clear();
        mSettled = false;
        mAdoptSentAt = 0;
        Logger.info(
                "event=shares_epoch shard={} epoch={} holders={} unresolved={}",
                mShard,
                claim.mEpoch,
                claim.mHolders.size(),
                claim.mUnresolved.size());
    }

    private void onRecord(KeyValueReply.Found found, long nowNanos, Outbox out) {
        if (found.entries().isEmpty()) {
            claim(null, 0, nowNanos, out);
            return;
        }
        KeyValueReply.Entry entry = found.entries().get(0);
        Claim record;
        try {
            record = Claim.parse(entry.value().toByteArray());
        } catch (InvalidProtocolBufferException e) {
            Logger.error(e, "event=shares_record_unreadable shard={}", mShard);
            mNextTryAt = nowNanos + RETRY_NANOS;
            return;
        }
        if (mClaim != null && record.mNonce == mClaim.mNonce && !mClaim.isInForce(mRecord)) {
            mUnsure = false;
            onClaimed(mClaim, entry.modRevision(), nowNanos);
            return;
        }
        mUnsure = false;
        boolean mine = mPeers.isSelf(record.mOwner);
        if (mOwning && (!mine || record.mNonce != mRecord.mNonce)) {
            resign();
        }
        if (mOwning) {
            mRecord.mModRevision = entry.modRevision();
            if (!needsNewEpoch(nowNanos)) {
                return;
            }
        }
        if (isMinority(record)) {
            mNextTryAt = nowNanos + RETRY_NANOS;
            return;
        }
        boolean alive = !mine && mPeers.isLive(record.mOwner);
        boolean heard = mPeers.silence(record.mOwner.id(), nowNanos) <= SILENT_NANOS;
        boolean unheardOf = mLease.owner() == null || !mLease.owner().equals(record.mOwner);
        if (alive && (heard || unheardOf)) {
            mNextTryAt = nowNanos + SILENT_NANOS;
            return;
        }
        claim(record, entry.modRevision(), nowNanos, out);
    }

    private void own(long nowNanos, Outbox out) {
        if (nowNanos - mAdoptSentAt >= ADOPT_RESEND_NANOS) {
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
        if (!mSettled) {
            startExpiries(nowNanos);
            resolve(nowNanos, out);
        }
        if (nowNanos - mRebalancedAt >= REBALANCE_NANOS) {
            mRebalancedAt = nowNanos;
            rebalance(nowNanos, out);
        }
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
     * Gives the ownership up where no other process can take it over: the record names nobody who
     * holds shares, but those who may hold some of earlier epochs.
     */
    private void release(long nowNanos, Outbox out) {
        boolean busy = mReadCall != 0 || mWriteCall != 0 || mReleaseCall != 0;
        if (busy || nowNanos < mNextTryAt) {
            return;
        }
        mNextTryAt = nowNanos + RETRY_NANOS;
        Set<Holder> others = new HashSet<>(mRecord.mHolders);
        others.remove(mPeers.self());
        others.addAll(mRecord.mUnresolved);
        write(mRecord.released(others), mRecord.mModRevision, out);
        mReleaseCall = mWriteCall;
        mWriteCall = 0;
    }

    /**
     * Takes free what silent processes held whose time has run out.
     *
     * <p>The record is written first: that it could be shows that no later epoch began before the
     * silent ones' leases had run out, in which they could have been confirmed.
     */
    private void resolve(long nowNanos, Outbox out) {
        if (!mReported.containsAll(mRecord.mAwaited)) {
            return;
        }
        Set<Holder> silent = new HashSet<>(mRecord.mUnresolved);
        silent.removeIf(it -> nowNanos >= mExpiries.getOrDefault(it, Long.MAX_VALUE));
        boolean busy = mReadCall != 0 || mWriteCall != 0 || mUnsure || nowNanos < mNextTryAt;
        if (silent.size() < mRecord.mUnresolved.size() && !busy) {
            mClaim = mRecord.resolved(silent);
            write(mClaim, mRecord.mModRevision, out);
        }
        if (mRecord.mUnresolved.isEmpty()) {
            settle(nowNanos);
        }
    }

    private void onResolved(Claim claim, long nowNanos) {
        mRecord = claim;
        Set<Holder> counted = new HashSet<>(claim.mHolders);
        claim.mUnresolved.forEach(it -> counted.add(new Holder(it.id(), it.incarnation(), false)));
        mLedgers.values().forEach(ledger -> ledger.retain(counted, nowNanos));
    }

    private void settle(long nowNanos) {
        mSettled = true;
        mSettledAt = nowNanos;
        for (Ledger ledger : mLedgers.values()) {
            boolean first = mFresh && !ledger.wasSettled();
            ledger.settle(first ? mTerms.apply(ledger.customer()).burst() : 0, nowNanos);
        }
    }

    /**
     * Starts the time after which a silent process surely holds nothing.
     *
     * <p>It starts once every other process follows an epoch that does not name the silent one, so
     * that nobody confirms its heartbeats any more. Two silent processes that may both run could
     * confirm each other's, and one that was alone its own; their time does not start.
     */
    private void startExpiries(long nowNanos) {
        if (!mReported.containsAll(mRecord.mAwaited)) {
            return;
        }
        long expiry = nowNanos + SILENCE_ENDS_NANOS;
        int running = 0;
        for (Holder holder : mRecord.mUnresolved) {
            boolean gone = mPeers.provenGone(holder);
            running += gone ? 0 : 1;
            running += !gone && holder.alone() ? 1 : 0;
        }
        for (Holder holder : mRecord.mUnresolved) {
            if (running <= 1 || mPeers.provenGone(holder)) {
                mExpiries.putIfAbsent(holder, expiry);
            }
        }
    }

    private void write(Claim claim, long modRevision, Outbox out) {
        String key = KEY_PREFIX + mShard;
        mWriteCall = mCallIds.next();
        out.keyValue(
                mWriteCall,
                new KeyValueCall.Transaction(
                        List.of(new KeyValueCall.Compare(key, modRevision)),
                        List.of(new KeyValueCall.Write(key, claim.toBytes(), 0))));
    }
}
