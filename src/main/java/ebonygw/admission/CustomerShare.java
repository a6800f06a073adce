package ebonygw.admission;

import ebonygw.admission.ShareMessage.Terms;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What one process holds, lends, borrows and lets wait for one customer.
 *
 * <p>Not thread-safe.
 */
final class CustomerShare {
    private static final long MAX_WAIT_NANOS = 2_000_000_000L;
    private static final int MAX_WAITING = 1_024;
    private static final long DEMAND_NANOS = 200_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MIN_RETRY_NANOS = 10_000_000L;

    private final String mCustomer;
    private final int mShard;
    private final TokenBucket mBucket = new TokenBucket();
    private final Lender mLender;
    private final Borrower mBorrower;
    private final ArrayDeque<Waiting> mQueue = new ArrayDeque<>();
    private Terms mTerms;
    private Terms mBasis = new Terms(0, 0, 0);
    private long mVersion;
    private long mReturned;
    private long mReportedRate;
    private long mReportedCapacity;
    private long mQueued;
    private long mArrived;
    private long mDemand;
    private long mDemandAt;
    private long mLargest;

    CustomerShare(String customer, int shard, Terms terms, LongSupplier loanIds) {
        mCustomer = customer;
        mShard = shard;
        mTerms = terms;
        mLender = new Lender(mBucket);
        mBorrower = new Borrower(customer, loanIds);
    }

    /** Charges a request at once, or lets it wait, or refuses it. */
    Admission admit(long ticket, long cost, long deadline, long nowNanos, boolean leased) {
        if (cost > mTerms.burst()) {
            return Admission.EXCEEDS_BURST;
        }
        mArrived += cost;
        if (leased && mQueue.isEmpty()) {
            mBucket.refill(nowNanos);
            if (mBucket.charge(ticket, cost)) {
                return Admission.ADMITTED;
            }
        }
        mLargest = Math.max(mLargest, cost);
        if (mQueue.size() >= MAX_WAITING || mQueued + cost > queueLimit()) {
            return Admission.overRate(retryAfter(cost));
        }
        long until = Math.min(deadline, nowNanos + MAX_WAIT_NANOS);
        mQueue.add(new Waiting(ticket, cost, until));
        mQueued += cost;
        return Admission.WAITING;
    }

    /** Replaces the share if the change is the next one; returns whether it is in force now. */
    boolean assign(ShareMessage.Assign assign, long nowNanos) {
        if (assign.version() != mVersion + 1) {
            return assign.version() == mVersion;
        }
        mVersion = assign.version();
        mBasis = assign.terms();
        mReturned = mBucket.resize(assign.rate(), assign.capacity(), nowNanos);
        mBucket.add(assign.tokens());
        limit(nowNanos);
        return true;
    }

    Borrower borrower() {
        return mBorrower;
    }

    TokenBucket bucket() {
        return mBucket;
    }

    /** Takes a request out of the queue; returns whether it waited. */
    boolean cancel(long ticket) {
        for (Iterator<Waiting> all = mQueue.iterator(); all.hasNext(); ) {
            Waiting waiting = all.next();
            if (waiting.mTicket == ticket) {
                all.remove();
                mQueued -= waiting.mCost;
                return true;
            }
        }
        return false;
    }

    String customer() {
        return mCustomer;
    }

    /** Returns tokens asked for by callers, a second; call at each tick. */
    long demand(long nowNanos) {
        long passed = nowNanos - mDemandAt;
        if (passed >= DEMAND_NANOS) {
            long rate = (long) (mArrived * (NANOS_PER_SECOND / (double) passed));
            mDemand = passed > NANOS_PER_SECOND ? rate : (3 * mDemand + rate) / 4;
            mDemandAt = nowNanos;
            mArrived = 0;
        }
        return mDemand;
    }

    /** Admits what can be admitted, in order, and refuses what has waited its time. */
    void drain(long nowNanos, boolean leased, List<AdmissionDecision> decisions, Outbox out) {
        if (mQueue.isEmpty()) {
            return;
        }
        mBucket.refill(nowNanos);
        while (!mQueue.isEmpty() && admitHead(nowNanos, leased, decisions, out)) {
            mQueue.remove();
        }
        expire(nowNanos, decisions);
    }

    /** Loses the whole share, because its lease has run out or is not known to hold. */
    void empty() {
        mBucket.empty();
        mLender.forget();
    }

    /** Returns whether the process holds any rate or capacity. */
    boolean holds() {
        return mBucket.rate() > 0 || mBucket.capacity() > 0;
    }

    /** Returns whether nothing has to be done at a tick. */
    boolean isIdle() {
        return mQueue.isEmpty()
                && mBorrower.isIdle()
                && mLender.isIdle()
                && mArrived == 0
                && mDemand == 0;
    }

    long largest() {
        return mLargest;
    }

    /**
     * Lends tokens of the bucket, if no own request waits for them.
     *
     * <p>What is of no use to the asker stays here, as long as the bucket can hold enough for it.
     */
    long lend(ShareMessage.Ask ask, ShareMessage.Holder asker, long nowNanos) {
        mBucket.refill(nowNanos);
        long most = mQueue.isEmpty() ? ask.amount() : 0;
        if (mBucket.level() < ask.least() && ask.least() <= mBucket.capacity()) {
            most = 0;
        }
        return mLender.lend(asker.id(), asker.incarnation(), ask.loan(), most, nowNanos);
    }

    /** Returns how many more tokens the waiting requests need than are at hand, 0 or more. */
    long missing(long nowNanos, boolean leased) {
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        return Math.max(0, mQueued - own - mBorrower.usable(nowNanos));
    }

    /** Returns how many more tokens the first waiting request needs than are at hand, 0 or more. */
    long missingForNext(long nowNanos, boolean leased) {
        if (mQueue.isEmpty()) {
            return 0;
        }
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        return Math.max(0, mQueue.peek().mCost - own - mBorrower.usable(nowNanos));
    }

    /** Takes over what the settings say of the customer; a lower limit is in force at once. */
    void onTerms(Terms terms, long nowNanos) {
        mTerms = terms;
        limit(nowNanos);
    }

    boolean onReturn(ShareMessage.Return back, ShareMessage.Holder asker) {
        return mLender.onReturn(
                asker.id(), asker.incarnation(), back.loan(), back.returnedTotal(), back.started());
    }

    long queued() {
        return mQueued;
    }

    /** Returns the state of the share, and remembers that it was reported. */
    ShareMessage.Assigned report(long epoch) {
        mReportedRate = mBucket.rate();
        mReportedCapacity = mBucket.capacity();
        return new ShareMessage.Assigned(
                mCustomer, epoch, mVersion, mReportedRate, mReportedCapacity, mReturned);
    }

    /** Returns whether the share is less than was reported last. */
    boolean shrunk() {
        return mBucket.rate() < mReportedRate || mBucket.capacity() < mReportedCapacity;
    }

    /** Returns after how long the tokens of a further request should be there, in nanoseconds. */
    long retryAfter(long cost) {
        long missing = mQueued + cost - Math.max(0, mBucket.level());
        long rate = mBucket.rate() > 0 ? mBucket.rate() : mTerms.rate();
        if (rate == 0) {
            return MAX_WAIT_NANOS;
        }
        double nanos = missing * (double) NANOS_PER_SECOND / rate;
        return Math.max(MIN_RETRY_NANOS, (long) nanos);
    }

    /** Ends a request; what it did not use comes back, what it used too much is charged. */
    void settle(long ticket, long charged, long used, long nowNanos, Outbox out) {
        mBucket.refill(nowNanos);
        if (used > charged) {
            mBucket.debit(used - charged);
        }
        long unused = Math.max(0, charged - used);
        long local = mBucket.giveBack(ticket, unused);
        mBucket.settled(ticket);
        mBorrower.settle(ticket, unused - local, nowNanos, out);
    }

    int shard() {
        return mShard;
    }

    /** Starts over with the versions of a new epoch. */
    void startEpoch() {
        mVersion = 0;
        mReturned = 0;
    }

    Terms terms() {
        return mTerms;
    }

    void tick(long nowNanos, Outbox out) {
        mBucket.refill(nowNanos);
        mLender.tick(nowNanos);
        mBorrower.tick(nowNanos, out);
        if (mQueue.isEmpty()) {
            mBorrower.returnUnused(nowNanos, out);
        }
    }

    int waiting() {
        return mQueue.size();
    }

    private boolean admitHead(
            long nowNanos, boolean leased, List<AdmissionDecision> decisions, Outbox out) {
        Waiting head = mQueue.peek();
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        if (nowNanos > head.mUntil || own + mBorrower.usable(nowNanos) < head.mCost) {
            return false;
        }
        long borrowed = mBorrower.take(head.mTicket, head.mCost, nowNanos, out);
        if (borrowed < head.mCost) {
            mBucket.charge(head.mTicket, head.mCost - borrowed);
        }
        mQueued -= head.mCost;
        decisions.add(new AdmissionDecision(head.mTicket, Admission.ADMITTED));
        return true;
    }

    private void expire(long nowNanos, List<AdmissionDecision> decisions) {
        for (Iterator<Waiting> all = mQueue.iterator(); all.hasNext(); ) {
            Waiting waiting = all.next();
            if (nowNanos <= waiting.mUntil) {
                continue;
            }
            all.remove();
            mQueued -= waiting.mCost;
            Admission refused = Admission.overRate(retryAfter(waiting.mCost));
            decisions.add(new AdmissionDecision(waiting.mTicket, refused));
        }
    }

    private void limit(long nowNanos) {
        boolean newer = mTerms.revision() >= mBasis.revision();
        boolean lower = mTerms.rate() < mBasis.rate() || mTerms.burst() < mBasis.burst();
        if (!newer || !lower) {
            return;
        }
        long rate = scaled(mBucket.rate(), mTerms.rate(), mBasis.rate());
        long capacity = scaled(mBucket.capacity(), mTerms.burst(), mBasis.burst());
        mBucket.resize(rate, capacity, nowNanos);
        mBasis =
                new Terms(
                        mTerms.revision(),
                        Math.min(mTerms.rate(), mBasis.rate()),
                        Math.min(mTerms.burst(), mBasis.burst()));
    }

    private long queueLimit() {
        return mTerms.burst() + mTerms.rate() * (MAX_WAIT_NANOS / NANOS_PER_SECOND);
    }

    private static long scaled(long part, long now, long before) {
        return now >= before ? part : (long) Math.floor(part * (now / (double) before));
    }

    private static final class Waiting {
        private final long mTicket;
        private final long mCost;
        private final long mUntil;

        private Waiting(long ticket, long cost, long until) {
            mTicket = ticket;
            mCost = cost;
            mUntil = until;
        }
    }
}
