package ebonygw.gateway;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The tokens that an entry has used of a customer's quota in the last moment, which other entries
 * may not know yet. Not thread-safe.
 */
final class RecentCharges {
    /** Width of a slot; {@link #LIFETIME_NANOS} of slots bound the size. */
    private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /**
     * Time until other entries have received a charge: a tick and a send interval at each of three
     * messages over relays, plus the delay between regions.
     */
    static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ArrayDeque<Slot> mSlots = new ArrayDeque<>();
    private long mUnsent;
    private long mCharged;
    private double mStakes;

    /** Adds a charge, or a refund if negative, that has not been sent to other entries. */
    void addCharge(long tokens) {
        mUnsent += tokens;
    }

    /** Handles that the charges are sent to other entries. */
    void onSent(long nowNanos) {
        slot(nowNanos).mCharged += mUnsent;
        mCharged += mUnsent;
        mUnsent = 0;
    }

    /** Adds what a request has used of this entry's share without being admitted. */
    void addStake(double tokens, long nowNanos) {
        slot(nowNanos).mStakes += tokens;
        mStakes += tokens;
    }

    /** Returns the charges that others may not know. */
    long charged(long nowNanos) {
        expire(nowNanos);
        return Math.max(0, mUnsent + mCharged);
    }

    /** Returns what was used of this entry's share: the charges and the stakes. */
    double used(long nowNanos) {
        expire(nowNanos);
        return Math.max(0, mUnsent + mCharged + mStakes);
    }

    private void expire(long nowNanos) {
        while (!mSlots.isEmpty() && nowNanos - mSlots.peek().mStartNanos > LIFETIME_NANOS) {
            Slot expired = mSlots.remove();
            mCharged -= expired.mCharged;
            mStakes -= expired.mStakes;
        }
    }

    private Slot slot(long nowNanos) {
        expire(nowNanos);
        Slot last = mSlots.peekLast();
        if (last == null || nowNanos - last.mStartNanos >= SLOT_NANOS) {
            last = new Slot(nowNanos);
            mSlots.add(last);
        }
        return last;
    }

    private static final class Slot {
        private final long mStartNanos;
        private long mCharged;
        private double mStakes;

        Slot(long startNanos) {
            mStartNanos = startNanos;
        }
    }
}
