package ebonygw.admission;

import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The loans of rate-limit tokens that a process has from other processes for one customer.
 *
 * <p>A loan may be used until {@link #LOAN_VALIDITY_NANOS} after its request was sent, by the
 * borrower's clock. The lender counts from the grant, which is later, so that the loan has expired
 * before the lender ends its reservation. Not thread-safe.
 */
final class Borrower {
    /** How long after its request a loan may be used. */
    static final long LOAN_VALIDITY_NANOS = 1_000_000_000L;

    private static final long REQUEST_TIMEOUT_NANOS = 250_000_000L;
    private static final long ABANDONED_RETENTION_NANOS = 2 * LOAN_VALIDITY_NANOS;
    private static final long MIN_RETRY_NANOS = 10_000_000L;
    private static final long MAX_RETRY_NANOS = 100_000_000L;
    private static final long[] RETURN_RESEND_DELAYS_NANOS = {200_000_000L, 1_000_000_000L};

    private final String mCustomer;
    private final LongSupplier mLoanIds;
    private final Map<Long, Loan> mLoans = new LinkedHashMap<>();
    private final Map<Long, List<LoanCharge>> mCharges = new HashMap<>();
    private final Map<NodeId, Long> mRetryAtByLender = new HashMap<>();
    private int mPendingRequests;

    Borrower(String customer, LongSupplier loanIds) {
        mCustomer = customer;
        mLoanIds = loanIds;
    }

    /** Returns whether no loan request to the lender is pending and its retry delay is over. */
    boolean canRequest(NodeId lender, long nowNanos) {
        return mRetryAtByLender.getOrDefault(lender, 0L) <= nowNanos
                && mLoans.values().stream()
                        .noneMatch(
                                loan ->
                                        loan.mState == State.REQUESTED
                                                && loan.mLender.equals(lender));
    }

    /** Charges borrowed tokens to a request, up to an amount; returns how many. */
    long charge(long requestId, long amount, long nowNanos, Outbox out) {
        long charged = 0;
        for (Loan loan : mLoans.values()) {
            if (charged < amount && loan.isUsable(nowNanos)) {
                long part = Math.min(amount - charged, loan.mAvailable);
                loan.mAvailable -= part;
                loan.mOpenCharges++;
                charged += part;
                mCharges.computeIfAbsent(requestId, id -> new ArrayList<>())
                        .add(new LoanCharge(loan, part));
                if (loan.mAvailable == 0) {
                    out.send(loan.mLender, loan.returnMessage(mCustomer));
                }
            }
        }
        return charged;
    }

    /** Returns whether nothing is borrowed, requested or still to be returned. */
    boolean isIdle() {
        return mLoans.isEmpty();
    }

    /** Applies the response to a loan request; returns whether it made new tokens available. */
    boolean onGrant(ShareMessage.LoanGrant grant, long nowNanos, Outbox out) {
        Loan loan = mLoans.get(grant.loan());
        if (loan == null || loan.mState == State.GRANTED) {
            return false;
        }
        if (loan.mState == State.REQUESTED) {
            mPendingRequests--;
        }
        long retryDelay =
                Math.max(MIN_RETRY_NANOS, Math.min(MAX_RETRY_NANOS, grant.retryAfterNanos()));
        if (grant.amount() == 0) {
            mRetryAtByLender.put(loan.mLender, nowNanos + retryDelay);
            mLoans.remove(loan.mId);
            return false;
        }
        boolean abandoned = loan.mState == State.ABANDONED;
        loan.mState = State.GRANTED;
        loan.mAvailable = grant.amount();
        mRetryAtByLender.remove(loan.mLender);
        if (abandoned || !loan.isUsable(nowNanos)) {
            returnTokens(loan, loan.mAvailable, nowNanos, out);
            return false;
        }
        return true;
    }

    int pendingRequests() {
        return mPendingRequests;
    }

    /** Requests a loan of up to {@code amount}, of no use below {@code minAmount}. */
    void requestLoan(NodeId lender, long amount, long minAmount, long nowNanos, Outbox out) {
        Loan loan = new Loan(mLoanIds.getAsLong(), lender, nowNanos);
        mLoans.put(loan.mId, loan);
        mPendingRequests++;
        out.send(lender, new ShareMessage.LoanRequest(mCustomer, loan.mId, amount, minAmount));
    }

    /** Gives all tokens that are not charged to a request back to their lenders. */
    void returnUnused(long nowNanos, Outbox out) {
        for (Loan loan : mLoans.values()) {
            if (loan.mAvailable > 0) {
                returnTokens(loan, loan.mAvailable, nowNanos, out);
            }
        }
    }

    /** Ends a request; gives up to {@code unused} of its borrowed tokens back to their lenders. */
    void settle(long requestId, long unused, long nowNanos, Outbox out) {
        List<LoanCharge> loanCharges = mCharges.isEmpty() ? null : mCharges.remove(requestId);
        if (loanCharges == null) {
            return;
        }
        long remaining = unused;
        for (LoanCharge loanCharge : loanCharges) {
            long returned = Math.min(remaining, loanCharge.mAmount);
            remaining -= returned;
            loanCharge.mLoan.mOpenCharges--;
            if (returned > 0) {
                loanCharge.mLoan.mReturnedTotal += returned;
                sendReturn(loanCharge.mLoan, nowNanos, out);
            }
        }
    }

    /** Times requests out, returns expired loans, resends returns and removes finished loans. */
    void tick(long nowNanos, Outbox out) {
        for (Iterator<Loan> loans = mLoans.values().iterator(); loans.hasNext(); ) {
            Loan loan = loans.next();
            if (loan.mState == State.REQUESTED
                    && nowNanos - loan.mRequestedAt > REQUEST_TIMEOUT_NANOS) {
                loan.mState = State.ABANDONED;
                mPendingRequests--;
                mRetryAtByLender.put(loan.mLender, nowNanos + REQUEST_TIMEOUT_NANOS);
            }
            if (loan.mAvailable > 0 && !loan.isUsable(nowNanos)) {
                returnTokens(loan, loan.mAvailable, nowNanos, out);
            }
            if (loan.mReturnedTotal > 0
                    && loan.mResends < RETURN_RESEND_DELAYS_NANOS.length
                    && nowNanos - loan.mReturnedAt >= RETURN_RESEND_DELAYS_NANOS[loan.mResends]) {
                loan.mResends++;
                out.send(loan.mLender, loan.returnMessage(mCustomer));
            }
            if (loan.canRemove(nowNanos)) {
                loans.remove();
            }
        }
    }

    /** Returns how many borrowed tokens may be used now. */
    long usable(long nowNanos) {
        long sum = 0;
        for (Loan loan : mLoans.values()) {
            if (loan.isUsable(nowNanos)) {
                sum += loan.mAvailable;
            }
        }
        return sum;
    }

    private void returnTokens(Loan loan, long amount, long nowNanos, Outbox out) {
        loan.mAvailable -= amount;
        loan.mReturnedTotal += amount;
        sendReturn(loan, nowNanos, out);
    }

    private void sendReturn(Loan loan, long nowNanos, Outbox out) {
        loan.mReturnedAt = nowNanos;
        loan.mResends = 0;
        out.send(loan.mLender, loan.returnMessage(mCustomer));
    }

    /** Whether a loan's request timed out, is pending or was granted, also after a timeout. */
    private enum State {
        ABANDONED,
        REQUESTED,
        GRANTED
    }

    private static final class Loan {
        private final long mId;
        private final NodeId mLender;
        private final long mRequestedAt;
        private State mState = State.REQUESTED;
        private long mAvailable;
        private int mOpenCharges;
        private int mResends;
        private long mReturnedTotal;
        private long mReturnedAt;

        private Loan(long id, NodeId lender, long requestedAt) {
            mId = id;
            mLender = lender;
            mRequestedAt = requestedAt;
        }

        private boolean canRemove(long nowNanos) {
            if (mState != State.GRANTED) {
                return nowNanos - mRequestedAt > ABANDONED_RETENTION_NANOS;
            }
            boolean returnsSent =
                    mReturnedTotal == 0 || mResends == RETURN_RESEND_DELAYS_NANOS.length;
            return mAvailable == 0 && mOpenCharges == 0 && returnsSent;
        }

        private boolean isUsable(long nowNanos) {
            return mAvailable > 0 && nowNanos <= mRequestedAt + LOAN_VALIDITY_NANOS;
        }

        private ShareMessage returnMessage(String customer) {
            return new ShareMessage.LoanReturn(customer, mId, mReturnedTotal, mAvailable == 0);
        }
    }

    /** The part of a request's charge that came from one loan. */
    private static final class LoanCharge {
        private final Loan mLoan;
        private final long mAmount;

        private LoanCharge(Loan loan, long amount) {
            mLoan = loan;
            mAmount = amount;
        }
    }
}
