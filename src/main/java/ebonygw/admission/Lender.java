package ebonygw.admission;

import ebonygw.protocol.NodeId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The loans that a holder grants from its bucket for one customer.
 *
 * <p>A lent amount stays reserved in the bucket until the borrower can no longer start a request on
 * it; then it becomes a charge of the bucket. Not thread-safe.
 */
final class Lender {
    /** How long after the grant unused tokens of a loan are accepted back. */
    private static final long LOAN_RETENTION_NANOS = 600_000_000_000L;

    /** A loan's validity, with a margin for the drift between borrower's and lender's clock. */
    private static final long RESERVATION_NANOS =
            ClockDrift.withMargin(Borrower.LOAN_VALIDITY_NANOS);

    private final TokenBucket mBucket;
    private final Map<LoanKey, GrantedLoan> mLoans = new HashMap<>();
    private long mLastChargeId;

    Lender(TokenBucket bucket) {
        mBucket = bucket;
    }

    boolean isIdle() {
        return mLoans.isEmpty();
    }

    /** Lends up to an amount; a repeated request gets the result of the first one. */
    long lend(NodeId borrower, long incarnation, long loanId, long amount, long nowNanos) {
        LoanKey key = new LoanKey(borrower, incarnation, loanId);
        GrantedLoan existing = mLoans.get(key);
        if (existing != null) {
            return existing.mReturnable ? existing.mAmount : 0;
        }
        long granted = Math.min(amount, Math.max(0, mBucket.level()));
        if (granted > 0) {
            mLastChargeId--;
            mBucket.reserve(granted);
            mLoans.put(key, new GrantedLoan(mLastChargeId, granted, nowNanos));
        }
        return granted;
    }

    /** Accepts returned tokens of a loan; returns whether there were any new ones. */
    boolean onReturn(
            NodeId borrower, long incarnation, long loanId, long returnedTotal, boolean started) {
        GrantedLoan loan = mLoans.get(new LoanKey(borrower, incarnation, loanId));
        if (loan == null) {
            return false;
        }
        long newlyReturned = Math.min(returnedTotal, loan.mAmount) - loan.mReturned;
        if (newlyReturned > 0) {
            loan.mReturned += newlyReturned;
            if (loan.mReleased) {
                mBucket.refund(loan.mChargeId, newlyReturned);
            } else {
                mBucket.unreserve(newlyReturned, loan.mReturnable);
            }
        }
        if (started) {
            release(loan);
        }
        return newlyReturned > 0;
    }

    /** Stops accepting tokens of open loans back, since the share that they came from is lost. */
    void onShareLost() {
        mLoans.values().removeIf(loan -> loan.mReleased);
        mLoans.values().forEach(loan -> loan.mReturnable = false);
    }

    /** Ends expired reservations and removes old loans. */
    void tick(long nowNanos) {
        for (Iterator<GrantedLoan> loans = mLoans.values().iterator(); loans.hasNext(); ) {
            GrantedLoan loan = loans.next();
            long age = nowNanos - loan.mGrantedAt;
            if (!loan.mReleased && age > RESERVATION_NANOS) {
                release(loan);
            }
            if (!loan.mReleased) {
                continue;
            }
            if (age > LOAN_RETENTION_NANOS || !mBucket.isRefundable(loan.mChargeId)) {
                mBucket.removeCharge(loan.mChargeId);
                loans.remove();
            }
        }
    }

    private void release(GrantedLoan loan) {
        if (!loan.mReleased) {
            loan.mReleased = true;
            mBucket.release(loan.mChargeId, loan.mAmount - loan.mReturned, loan.mReturnable);
        }
    }

    private record LoanKey(NodeId borrower, long incarnation, long loan) {}

    /** A loan and its reservation, which becomes a charge under {@code mChargeId}. */
    private static final class GrantedLoan {
        private final long mChargeId;
        private final long mAmount;
        private final long mGrantedAt;
        private boolean mReturnable = true;
        private boolean mReleased;
        private long mReturned;

        private GrantedLoan(long chargeId, long amount, long grantedAt) {
            mChargeId = chargeId;
            mAmount = amount;
            mGrantedAt = grantedAt;
        }
    }
}
