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
 * The loans of tokens that a process takes for one customer.
 *
 * <p>A loan may be used until a fixed time after it was asked for, by the asker's clock; the lender
 * counts from the later moment of the grant. Not thread-safe.
 */
final class Borrower {
    /** For how long after its ask a loan may be used. */
    static final long LOAN_NANOS = 1_000_000_000L;

    private static final long ASK_TIMEOUT_NANOS = 250_000_000L;
    private static final long FORGET_NANOS = 2 * LOAN_NANOS;
    private static final long MIN_RETRY_NANOS = 10_000_000L;
    private static final long MAX_RETRY_NANOS = 100_000_000L;
    private static final long[] REPEAT_NANOS = {200_000_000L, 1_000_000_000L};

    private final String mCustomer;
    private final LongSupplier mIds;
    private final Map<Long, Loan> mLoans = new LinkedHashMap<>();
    private final Map<Long, List<Part>> mCharges = new HashMap<>();
    private final Map<NodeId, Long> mNotBefore = new HashMap<>();
    private int mOpenAsks;

    Borrower(String customer, LongSupplier ids) {
        mCustomer = customer;
        mIds = ids;
    }

    /** Asks a lender. */
    void ask(NodeId lender, long amount, long least, long nowNanos, Outbox out) {
        Loan loan = new Loan(mIds.getAsLong(), lender, nowNanos);
        mLoans.put(loan.mId, loan);
        mOpenAsks++;
        out.send(lender, new ShareMessage.Ask(mCustomer, loan.mId, amount, least));
    }

    /** Returns whether it makes sense to ask a lender now. */
    boolean mayAsk(NodeId lender, long nowNanos) {
        return mNotBefore.getOrDefault(lender, 0L) <= nowNanos
                && mLoans.values().stream()
                        .noneMatch(it -> it.mState == State.ASKED && it.mLender.equals(lender));
    }

    /** Takes in an answer; returns whether new tokens came with it. */
    boolean onGrant(ShareMessage.Grant grant, long nowNanos, Outbox out) {
        Loan loan = mLoans.get(grant.loan());
        if (loan == null || loan.mState == State.GRANTED) {
            return false;
        }
        if (loan.mState == State.ASKED) {
            mOpenAsks--;
        }
        long retry = Math.max(MIN_RETRY_NANOS, Math.min(MAX_RETRY_NANOS, grant.retryAfterNanos()));
        if (grant.amount() == 0) {
            mNotBefore.put(loan.mLender, nowNanos + retry);
            mLoans.remove(loan.mId);
            return false;
        }
        boolean abandoned = loan.mState == State.ABANDONED;
        loan.mState = State.GRANTED;
        loan.mLeft = grant.amount();
        mNotBefore.remove(loan.mLender);
        if (abandoned || !loan.usable(nowNanos)) {
            giveBack(loan, loan.mLeft, nowNanos, out);
            return false;
        }
        return true;
    }

    int openAsks() {
        return mOpenAsks;
    }

    /** Returns whether nothing is borrowed, asked for or still to be returned. */
    boolean isIdle() {
        return mLoans.isEmpty();
    }

    /** Gives all tokens back that no request uses. */
    void returnUnused(long nowNanos, Outbox out) {
        for (Loan loan : mLoans.values()) {
            if (loan.mLeft > 0) {
                giveBack(loan, loan.mLeft, nowNanos, out);
            }
        }
    }

    /** Ends a request; gives back up to {@code unused} of what it took. */
    void settle(long ticket, long unused, long nowNanos, Outbox out) {
        List<Part> parts = mCharges.isEmpty() ? null : mCharges.remove(ticket);
        if (parts == null) {
            return;
        }
        long left = unused;
        for (Part part : parts) {
            long back = Math.min(left, part.mAmount);
            left -= back;
            part.mLoan.mOpenCharges--;
            if (back > 0) {
                part.mLoan.mReturned += back;
                sendReturn(part.mLoan, nowNanos, out);
            }
        }
    }

    /** Takes up to an amount for a request; returns how much. */
    long take(long ticket, long amount, long nowNanos, Outbox out) {
        long taken = 0;
        for (Loan loan : mLoans.values()) {
            if (taken < amount && loan.usable(nowNanos)) {
                long part = Math.min(amount - taken, loan.mLeft);
                loan.mLeft -= part;
                loan.mOpenCharges++;
                taken += part;
                mCharges.computeIfAbsent(ticket, it -> new ArrayList<>()).add(new Part(loan, part));
                if (loan.mLeft == 0) {
                    out.send(loan.mLender, loan.message(mCustomer));
                }
            }
        }
        return taken;
    }

    /** Gives up on late answers, returns expired loans, repeats returns and forgets what ended. */
    void tick(long nowNanos, Outbox out) {
        for (Iterator<Loan> all = mLoans.values().iterator(); all.hasNext(); ) {
            Loan loan = all.next();
            if (loan.mState == State.ASKED && nowNanos - loan.mAskedAt > ASK_TIMEOUT_NANOS) {
                loan.mState = State.ABANDONED;
                mOpenAsks--;
                mNotBefore.put(loan.mLender, nowNanos + ASK_TIMEOUT_NANOS);
            }
            if (loan.mLeft > 0 && !loan.usable(nowNanos)) {
                giveBack(loan, loan.mLeft, nowNanos, out);
            }
            if (loan.mReturned > 0
                    && loan.mRepeats < REPEAT_NANOS.length
                    && nowNanos - loan.mReturnedAt >= REPEAT_NANOS[loan.mRepeats]) {
                loan.mRepeats++;
                out.send(loan.mLender, loan.message(mCustomer));
            }
            if (loan.ended(nowNanos)) {
                all.remove();
            }
        }
    }

    /** Returns the borrowed tokens that may be used now. */
    long usable(long nowNanos) {
        long sum = 0;
        for (Loan loan : mLoans.values()) {
            if (loan.usable(nowNanos)) {
                sum += loan.mLeft;
            }
        }
        return sum;
    }

    private void giveBack(Loan loan, long amount, long nowNanos, Outbox out) {
        loan.mLeft -= amount;
        loan.mReturned += amount;
        sendReturn(loan, nowNanos, out);
    }

    private void sendReturn(Loan loan, long nowNanos, Outbox out) {
        loan.mReturnedAt = nowNanos;
        loan.mRepeats = 0;
        out.send(loan.mLender, loan.message(mCustomer));
    }

    private enum State {
        ABANDONED,
        ASKED,
        GRANTED
    }

    private static final class Loan {
        private final long mId;
        private final NodeId mLender;
        private final long mAskedAt;
        private State mState = State.ASKED;
        private long mLeft;
        private int mOpenCharges;
        private int mRepeats;
        private long mReturned;
        private long mReturnedAt;

        private Loan(long id, NodeId lender, long askedAt) {
            mId = id;
            mLender = lender;
            mAskedAt = askedAt;
        }

        private boolean ended(long nowNanos) {
            if (mState != State.GRANTED) {
                return nowNanos - mAskedAt > FORGET_NANOS;
            }
            boolean repeated = mReturned == 0 || mRepeats == REPEAT_NANOS.length;
            return mLeft == 0 && mOpenCharges == 0 && repeated;
        }

        private ShareMessage message(String customer) {
            return new ShareMessage.Return(customer, mId, mReturned, mLeft == 0);
        }

        private boolean usable(long nowNanos) {
            return mLeft > 0 && nowNanos <= mAskedAt + LOAN_NANOS;
        }
    }

    private static final class Part {
        private final Loan mLoan;
        private final long mAmount;

        private Part(Loan loan, long amount) {
            mLoan = loan;
            mAmount = amount;
        }
    }
}
