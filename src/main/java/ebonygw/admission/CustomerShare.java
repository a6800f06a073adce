package ebonygw.admission;

import ebonygw.admission.ShareMessage.Limits;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * One process's share of a customer's rate and burst: its token bucket, its loans to and from other
 * processes, and the queue of requests that wait for tokens.
 *
 * <p>Not thread-safe.
 */
final class CustomerShare {
    private static final long MAX_WAIT_NANOS = 2_000_000_000L;
    private static final int MAX_WAITING_REQUESTS = 1_024;
    private static final long DEMAND_WINDOW_NANOS = 200_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MIN_RETRY_NANOS = 10_000_000L;

    private final String mCustomer;
    private final int mShard;
    private final TokenBucket mBucket = new TokenBucket();
    private final Lender mLender;
    private final Borrower mBorrower;
    private final ArrayDeque<WaitingRequest> mQueue = new ArrayDeque<>();
    private Limits mLimits;

    /** The customer's limits that the present share was computed from or lowered to. */
    private Limits mShareLimits = new Limits(0, 0, 0);

    private long mVersion;

    /** Tokens removed from the bucket by the last version. */
    private long mReturned;

    private long mReportedRate;
    private long mReportedCapacity;
    private long mQueuedTokens;
    private long mArrivedTokens;
    private long mDemandRate;
    private long mDemandWindowStart;
    private long mLargestRequest;

    CustomerShare(String customer, int shard, Limits limits, LongSupplier loanIds) {
        mCustomer = customer;
        mShard = shard;
        mLimits = limits;
        mLender = new Lender(mBucket);
        mBorrower = new Borrower(customer, loanIds);
    }

    /** Charges a request, queues it until there are enough tokens, or refuses it. */
    Admission admit(long requestId, long cost, long deadline, long nowNanos, boolean leased) {
        if (cost > mLimits.burst()) {
            return Admission.EXCEEDS_BURST;
        }
        mArrivedTokens += cost;
        if (leased && mQueue.isEmpty()) {
            mBucket.refill(nowNanos);
            if (mBucket.charge(requestId, cost)) {
                return Admission.ADMITTED;
            }
        }
        mLargestRequest = Math.max(mLargestRequest, cost);
        if (mQueue.size() >= MAX_WAITING_REQUESTS || mQueuedTokens + cost > maxQueuedTokens()) {
            return Admission.overRate(retryAfter(cost));
        }
        long waitsUntil = Math.min(deadline, nowNanos + MAX_WAIT_NANOS);
        mQueue.add(new WaitingRequest(requestId, cost, waitsUntil));
        mQueuedTokens += cost;
        return Admission.WAITING;
    }

    /** Applies the next version of the share; returns whether that version is in force now. */
    boolean assign(ShareMessage.Assign assign, long nowNanos) {
        if (assign.version() != mVersion + 1) {
            return assign.version() == mVersion;
        }
        mVersion = assign.version();
        mShareLimits = assign.limits();
        mReturned = mBucket.resize(assign.rate(), assign.capacity(), nowNanos);
        mBucket.add(assign.tokens());
        applyLowerLimits(nowNanos);
        return true;
    }

    Borrower borrower() {
        return mBorrower;
    }

    TokenBucket bucket() {
        return mBucket;
    }

    /** Removes a request from the queue; returns whether it was there. */
    boolean cancel(long requestId) {
        for (Iterator<WaitingRequest> requests = mQueue.iterator(); requests.hasNext(); ) {
            WaitingRequest waiting = requests.next();
            if (waiting.mRequestId == requestId) {
                requests.remove();
                mQueuedTokens -= waiting.mCost;
                return true;
            }
        }
        return false;
    }

    /** Drops the whole share, because its lease has expired or is not known to be valid. */
    void clear() {
        mBucket.clear();
        mLender.onShareLost();
    }

    String customer() {
        return mCustomer;
    }

    /** Admits waiting requests in order while there are tokens, and refuses expired ones. */
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

    /** Returns whether the process holds any rate or capacity. */
    boolean holdsShare() {
        return mBucket.rate() > 0 || mBucket.capacity() > 0;
    }

    /** Returns whether the share is less than the last reported one. */
    boolean isBelowReported() {
        return mBucket.rate() < mReportedRate || mBucket.capacity() < mReportedCapacity;
    }

    /** Returns whether a tick has nothing to do. */
    boolean isIdle() {
        return mQueue.isEmpty()
                && mBorrower.isIdle()
                && mLender.isIdle()
                && mArrivedTokens == 0
                && mDemandRate == 0;
    }

    /** Returns the cost of the largest request that was queued or refused because of the rate. */
    long largestRequest() {
        return mLargestRequest;
    }

    /**
     * Lends tokens of the bucket, unless a request of this process waits for them.
     *
     * <p>Lends nothing below the requested minimum amount, unless this bucket can never hold that
     * much.
     */
    long lend(ShareMessage.LoanRequest request, ShareMessage.Holder borrower, long nowNanos) {
        mBucket.refill(nowNanos);
        long maxAmount = mQueue.isEmpty() ? request.amount() : 0;
        if (mBucket.level() < request.least() && request.least() <= mBucket.capacity()) {
            maxAmount = 0;
        }
        return mLender.lend(
                borrower.id(), borrower.incarnation(), request.loan(), maxAmount, nowNanos);
    }

    Limits limits() {
        return mLimits;
    }

    /** Applies the customer's limits of the settings; lower ones reduce the share at once. */
    void onLimits(Limits limits, long nowNanos) {
        mLimits = limits;
        applyLowerLimits(nowNanos);
    }

    boolean onLoanReturn(ShareMessage.LoanReturn loanReturn, ShareMessage.Holder borrower) {
        return mLender.onReturn(
                borrower.id(),
                borrower.incarnation(),
                loanReturn.loan(),
                loanReturn.returnedTotal(),
                loanReturn.started());
    }

    long queuedTokens() {
        return mQueuedTokens;
    }

    /** Returns the state of the share, and records it as reported. */
    ShareMessage.Assigned report(long epoch) {
        mReportedRate = mBucket.rate();
        mReportedCapacity = mBucket.capacity();
        return new ShareMessage.Assigned(
                mCustomer, epoch, mVersion, mReportedRate, mReportedCapacity, mReturned);
    }

    /** Returns in how many nanoseconds a further request of this cost may expect its tokens. */
    long retryAfter(long cost) {
        long shortfall = mQueuedTokens + cost - Math.max(0, mBucket.level());
        long rate = mBucket.rate() > 0 ? mBucket.rate() : mLimits.rate();
        if (rate == 0) {
            return MAX_WAIT_NANOS;
        }
        double nanos = shortfall * (double) NANOS_PER_SECOND / rate;
        return Math.max(MIN_RETRY_NANOS, (long) nanos);
    }

    /** Ends a request; refunds what it did not use, or charges what it used beyond its charge. */
    void settle(long requestId, long charged, long used, long nowNanos, Outbox out) {
        mBucket.refill(nowNanos);
        if (used > charged) {
            mBucket.debit(used - charged);
        }
        long unused = Math.max(0, charged - used);
        long local = mBucket.refund(requestId, unused);
        mBucket.removeCharge(requestId);
        mBorrower.settle(requestId, unused - local, nowNanos, out);
    }

    int shard() {
        return mShard;
    }

    /** Returns how many tokens the waiting requests need beyond the available ones, at least 0. */
    long shortfall(long nowNanos, boolean leased) {
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        return Math.max(0, mQueuedTokens - own - mBorrower.usable(nowNanos));
    }

    /** As {@link #shortfall}, for the first waiting request only. */
    long shortfallForNext(long nowNanos, boolean leased) {
        if (mQueue.isEmpty()) {
            return 0;
        }
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        return Math.max(0, mQueue.peek().mCost - own - mBorrower.usable(nowNanos));
    }

    /** Restarts the versions for a new epoch. */
    void startEpoch() {
        mVersion = 0;
        mReturned = 0;
    }

    void tick(long nowNanos, Outbox out) {
        mBucket.refill(nowNanos);
        mLender.tick(nowNanos);
        mBorrower.tick(nowNanos, out);
        if (mQueue.isEmpty()) {
            mBorrower.returnUnused(nowNanos, out);
        }
    }

    /** Updates and returns the smoothed rate of requested tokens per second; call at each tick. */
    long updateDemand(long nowNanos) {
        long elapsed = nowNanos - mDemandWindowStart;
        if (elapsed >= DEMAND_WINDOW_NANOS) {
            long rate = (long) (mArrivedTokens * (NANOS_PER_SECOND / (double) elapsed));
            mDemandRate = elapsed > NANOS_PER_SECOND ? rate : (3 * mDemandRate + rate) / 4;
            mDemandWindowStart = nowNanos;
            mArrivedTokens = 0;
        }
        return mDemandRate;
    }

    int waitingCount() {
        return mQueue.size();
    }

    private boolean admitHead(
            long nowNanos, boolean leased, List<AdmissionDecision> decisions, Outbox out) {
        WaitingRequest head = mQueue.peek();
        long own = leased ? Math.max(0, mBucket.level()) : 0;
        if (nowNanos > head.mWaitsUntil || own + mBorrower.usable(nowNanos) < head.mCost) {
            return false;
        }
        long borrowed = mBorrower.charge(head.mRequestId, head.mCost, nowNanos, out);
        if (borrowed < head.mCost) {
            mBucket.charge(head.mRequestId, head.mCost - borrowed);
        }
        mQueuedTokens -= head.mCost;
        decisions.add(new AdmissionDecision(head.mRequestId, Admission.ADMITTED));
        return true;
    }

    /** Scales the share down if the settings are not older than its limits and lower than them. */
    private void applyLowerLimits(long nowNanos) {
        boolean newer = mLimits.revision() >= mShareLimits.revision();
        boolean lower =
                mLimits.rate() < mShareLimits.rate() || mLimits.burst() < mShareLimits.burst();
        if (!newer || !lower) {
            return;
        }
        long rate = scaled(mBucket.rate(), mLimits.rate(), mShareLimits.rate());
        long capacity = scaled(mBucket.capacity(), mLimits.burst(), mShareLimits.burst());
        mBucket.resize(rate, capacity, nowNanos);
        mShareLimits =
                new Limits(
                        mLimits.revision(),
                        Math.min(mLimits.rate(), mShareLimits.rate()),
                        Math.min(mLimits.burst(), mShareLimits.burst()));
    }

    private void expire(long nowNanos, List<AdmissionDecision> decisions) {
        for (Iterator<WaitingRequest> requests = mQueue.iterator(); requests.hasNext(); ) {
            WaitingRequest waiting = requests.next();
            if (nowNanos <= waiting.mWaitsUntil) {
                continue;
            }
            requests.remove();
            mQueuedTokens -= waiting.mCost;
            Admission refused = Admission.overRate(retryAfter(waiting.mCost));
            decisions.add(new AdmissionDecision(waiting.mRequestId, refused));
        }
    }

    private long maxQueuedTokens() {
        return mLimits.burst() + mLimits.rate() * (MAX_WAIT_NANOS / NANOS_PER_SECOND);
    }

    private static long scaled(long part, long newLimit, long oldLimit) {
        return newLimit >= oldLimit
                ? part
                : (long) Math.floor(part * (newLimit / (double) oldLimit));
    }

    private static final class WaitingRequest {
        private final long mRequestId;
        private final long mCost;
        private final long mWaitsUntil;

        private WaitingRequest(long requestId, long cost, long waitsUntil) {
            mRequestId = requestId;
            mCost = cost;
            mWaitsUntil = waitsUntil;
        }
    }
}
