package ebonygw.admission;

import ebonygw.protocol.NodeId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The loans that a holder gives out of its bucket for one customer.
 *
 * <p>A lent amount stays reserved in the bucket until the asker can no longer start a request on
 * it; from then on it counts as a charge of the bucket. Not thread-safe.
 */
final class Lender {
    /** For how long a loan may come back in part. */
    private static final long KEEP_NANOS = 600_000_000_000L;

    /** The loan's time by the slower of two clocks that drift within their bound. */
    private static final long RELEASE_NANOS = Clocks.waitingOut(Borrower.LOAN_NANOS);

    private final TokenBucket mBucket;
    private final Map<Key, Lent> mLoans = new HashMap<>();
    private final long mLongestUseNanos;
    private long mLastId;

    /**
     * Creates a lender.
     *
     * @param bucket where the tokens are taken from
     * @param longestUseNanos after how long a loan that was not returned comes back whole, 0 for
     *     never
     */
    Lender(TokenBucket bucket, long longestUseNanos) {
        mBucket = bucket;
        mLongestUseNanos = longestUseNanos;
    }

    /** Gives nothing of the open loans a way back; they run out on their own. */
    void forget() {
        mLoans.values().removeIf(lent -> lent.mReleased);
        mLoans.values().forEach(lent -> lent.mLive = false);
    }

    boolean isIdle() {
        return mLoans.isEmpty();
    }

    /** Lends up to an amount; a repeated ask gets what the first one got. */
    long lend(NodeId asker, long incarnation, long loan, long amount, long nowNanos) {
        Key key = new Key(asker, incarnation, loan);
        Lent known = mLoans.get(key);
        if (known != null) {
            return known.mLive ? known.mAmount : 0;
        }
        long granted = Math.min(amount, Math.max(0, mBucket.level()));
        if (granted > 0) {
            mLastId--;
            mBucket.reserve(granted);
            mLoans.put(key, new Lent(mLastId, granted, nowNanos));
        }
        return granted;
    }

    /** Takes tokens of a loan back; returns whether any came. */
    boolean onReturn(
            NodeId asker, long incarnation, long loan, long returnedTotal, boolean started) {
        Lent lent = mLoans.get(new Key(asker, incarnation, loan));
        if (lent == null) {
            return false;
        }
        long back = Math.min(returnedTotal, lent.mAmount) - lent.mReturned;
        if (back > 0) {
            lent.mReturned += back;
            if (lent.mReleased) {
                mBucket.giveBack(lent.mChargeId, back);
            } else {
                mBucket.unreserve(back, lent.mLive);
            }
        }
        if (started) {
            release(lent);
        }
        return back > 0;
    }

    /** Ends reservations whose time is over and forgets old loans. */
    void tick(long nowNanos) {
        for (Iterator<Lent> all = mLoans.values().iterator(); all.hasNext(); ) {
            Lent lent = all.next();
            long age = nowNanos - lent.mGrantedAt;
            if (!lent.mReleased && age > RELEASE_NANOS) {
                release(lent);
            }
            if (!lent.mReleased) {
                continue;
            }
            boolean lapsed = mLongestUseNanos > 0 && age > mLongestUseNanos;
            if (lapsed) {
                mBucket.giveBack(lent.mChargeId, lent.mAmount);
            }
            if (lapsed || age > KEEP_NANOS || !mBucket.hasCharge(lent.mChargeId)) {
                mBucket.settled(lent.mChargeId);
                all.remove();
            }
        }
    }

    private void release(Lent lent) {
        if (!lent.mReleased) {
            lent.mReleased = true;
            mBucket.release(lent.mChargeId, lent.mAmount - lent.mReturned, lent.mLive);
        }
    }

    private record Key(NodeId asker, long incarnation, long loan) {}

    private static final class Lent {
        private final long mChargeId;
        private final long mAmount;
        private final long mGrantedAt;
        private boolean mLive = true;
        private boolean mReleased;
        private long mReturned;

        private Lent(long chargeId, long amount, long grantedAt) {
            mChargeId = chargeId;
            mAmount = amount;
            mGrantedAt = grantedAt;
        }
    }
}
