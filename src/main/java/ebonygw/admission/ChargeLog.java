package ebonygw.admission;

import java.util.Arrays;

/**
 * Open charges from oldest to newest, each with the amount that may still be refunded.
 *
 * <p>A hash table with chaining and a doubly linked list, both kept in arrays of slots: adding and
 * removing allocate nothing unless the arrays have to grow. Not thread-safe.
 */
final class ChargeLog {
    private static final int INITIAL_SIZE = 16;
    private static final int NONE = -1;

    private long[] mIds = new long[INITIAL_SIZE];
    private long[] mRefundable = new long[INITIAL_SIZE];
    private int[] mOlder = new int[INITIAL_SIZE];
    private int[] mNewer = new int[INITIAL_SIZE];

    /** Next slot of the same hash bucket, or of the free list for an unused slot. */
    private int[] mNextInBucket = new int[INITIAL_SIZE];

    private int[] mBuckets = new int[INITIAL_SIZE];
    private int mFreeHead;
    private int mOldest = NONE;
    private int mNewest = NONE;
    private int mSize;
    private long mTotalRefundable;

    ChargeLog() {
        Arrays.fill(mBuckets, NONE);
        linkFree(0);
    }

    /** Adds a charge as the newest; the log must not contain its id yet. */
    void add(long id, long amount) {
        if (mFreeHead == NONE) {
            grow();
        }
        int slot = mFreeHead;
        mFreeHead = mNextInBucket[slot];
        mIds[slot] = id;
        mRefundable[slot] = amount;
        mOlder[slot] = mNewest;
        mNewer[slot] = NONE;
        if (mNewest == NONE) {
            mOldest = slot;
        } else {
            mNewer[mNewest] = slot;
        }
        mNewest = slot;
        int bucket = bucket(id);
        mNextInBucket[slot] = mBuckets[bucket];
        mBuckets[bucket] = slot;
        mSize++;
        mTotalRefundable += amount;
    }

    /** Removes all charges. */
    void clear() {
        while (mOldest != NONE) {
            remove(mIds[mOldest]);
        }
    }

    /** Makes an amount in total non-refundable, the oldest charges first. */
    void forfeit(long amount) {
        long remaining = Math.min(amount, mTotalRefundable);
        mTotalRefundable -= remaining;
        for (int slot = mOldest; remaining > 0; slot = mNewer[slot]) {
            long part = Math.min(remaining, mRefundable[slot]);
            mRefundable[slot] -= part;
            remaining -= part;
        }
    }

    /** Refunds up to {@code amount} of a charge; returns how much was still refundable. */
    long reduce(long id, long amount) {
        int slot = find(id);
        if (slot == NONE) {
            return 0;
        }
        long part = Math.min(amount, mRefundable[slot]);
        mRefundable[slot] -= part;
        mTotalRefundable -= part;
        return part;
    }

    /** Returns the amount of a charge that may still be refunded, -1 if the charge is absent. */
    long refundable(long id) {
        int slot = find(id);
        return slot == NONE ? -1 : mRefundable[slot];
    }

    /** Removes a charge; returns what was still refundable of it, 0 if absent. */
    long remove(long id) {
        int bucket = bucket(id);
        int previous = NONE;
        int slot = mBuckets[bucket];
        while (slot != NONE && mIds[slot] != id) {
            previous = slot;
            slot = mNextInBucket[slot];
        }
        if (slot == NONE) {
            return 0;
        }
        if (previous == NONE) {
            mBuckets[bucket] = mNextInBucket[slot];
        } else {
            mNextInBucket[previous] = mNextInBucket[slot];
        }
        unlink(slot);
        mNextInBucket[slot] = mFreeHead;
        mFreeHead = slot;
        mSize--;
        mTotalRefundable -= mRefundable[slot];
        return mRefundable[slot];
    }

    int size() {
        return mSize;
    }

    /** Returns the refundable amount of all charges. */
    long totalRefundable() {
        return mTotalRefundable;
    }

    private int bucket(long id) {
        long hash = id * 0x9E3779B97F4A7C15L;
        return (int) (hash >>> 32) & mBuckets.length - 1;
    }

    private int find(long id) {
        int slot = mBuckets[bucket(id)];
        while (slot != NONE && mIds[slot] != id) {
            slot = mNextInBucket[slot];
        }
        return slot;
    }

    private void grow() {
        int old = mIds.length;
        int size = old * 2;
        mIds = Arrays.copyOf(mIds, size);
        mRefundable = Arrays.copyOf(mRefundable, size);
        mOlder = Arrays.copyOf(mOlder, size);
        mNewer = Arrays.copyOf(mNewer, size);
        mNextInBucket = new int[size];
        mBuckets = new int[size];
        Arrays.fill(mBuckets, NONE);
        for (int slot = mOldest; slot != NONE; slot = mNewer[slot]) {
            int bucket = bucket(mIds[slot]);
            mNextInBucket[slot] = mBuckets[bucket];
            mBuckets[bucket] = slot;
        }
        linkFree(old);
    }

    /** Puts all slots from {@code from} on the free list. */
    private void linkFree(int from) {
        for (int slot = from; slot < mNextInBucket.length - 1; slot++) {
            mNextInBucket[slot] = slot + 1;
        }
        mNextInBucket[mNextInBucket.length - 1] = NONE;
        mFreeHead = from;
    }

    private void unlink(int slot) {
        if (mOlder[slot] == NONE) {
            mOldest = mNewer[slot];
        } else {
            mNewer[mOlder[slot]] = mNewer[slot];
        }
        if (mNewer[slot] == NONE) {
            mNewest = mOlder[slot];
        } else {
            mOlder[mNewer[slot]] = mOlder[slot];
        }
    }
}
