package ebonygw.admission;

import java.util.Arrays;

/**
 * Charges in their order, with what may still be returned of each.
 *
 * <p>Adding and removing allocate nothing but when the log outgrows its arrays. Not thread-safe.
 */
final class ChargeLog {
    private static final int FIRST_SIZE = 16;
    private static final int NONE = -1;

    private long[] mIds = new long[FIRST_SIZE];
    private long[] mAmounts = new long[FIRST_SIZE];
    private int[] mOlder = new int[FIRST_SIZE];
    private int[] mNewer = new int[FIRST_SIZE];
    private int[] mChain = new int[FIRST_SIZE];
    private int[] mHeads = new int[FIRST_SIZE];
    private int mFree;
    private int mOldest = NONE;
    private int mNewest = NONE;
    private int mSize;
    private long mTotal;

    ChargeLog() {
        Arrays.fill(mHeads, NONE);
        linkFree(0);
    }

    /** Adds a charge as the newest; its identifier must not be in the log. */
    void add(long id, long amount) {
        if (mFree == NONE) {
            grow();
        }
        int slot = mFree;
        mFree = mChain[slot];
        mIds[slot] = id;
        mAmounts[slot] = amount;
        mOlder[slot] = mNewest;
        mNewer[slot] = NONE;
        if (mNewest == NONE) {
            mOldest = slot;
        } else {
            mNewer[mNewest] = slot;
        }
        mNewest = slot;
        int head = head(id);
        mChain[slot] = mHeads[head];
        mHeads[head] = slot;
        mSize++;
        mTotal += amount;
    }

    /** Returns what may still be returned of a charge, -1 if it is not in the log. */
    long amount(long id) {
        int slot = find(id);
        return slot == NONE ? -1 : mAmounts[slot];
    }

    /** Removes all charges. */
    void clear() {
        while (mOldest != NONE) {
            remove(mIds[mOldest]);
        }
    }

    /** Lowers what may be returned by an amount in all, the oldest charges first. */
    void forfeit(long amount) {
        long left = Math.min(amount, mTotal);
        mTotal -= left;
        for (int slot = mOldest; left > 0; slot = mNewer[slot]) {
            long part = Math.min(left, mAmounts[slot]);
            mAmounts[slot] -= part;
            left -= part;
        }
    }

    /** Lowers what may be returned of a charge; returns by how much, at most {@code amount}. */
    long reduce(long id, long amount) {
        int slot = find(id);
        if (slot == NONE) {
            return 0;
        }
        long part = Math.min(amount, mAmounts[slot]);
        mAmounts[slot] -= part;
        mTotal -= part;
        return part;
    }

    /** Removes a charge; returns what might still have been returned of it, 0 if absent. */
    long remove(long id) {
        int head = head(id);
        int previous = NONE;
        int slot = mHeads[head];
        while (slot != NONE && mIds[slot] != id) {
            previous = slot;
            slot = mChain[slot];
        }
        if (slot == NONE) {
            return 0;
        }
        if (previous == NONE) {
            mHeads[head] = mChain[slot];
        } else {
            mChain[previous] = mChain[slot];
        }
        unlink(slot);
        mChain[slot] = mFree;
        mFree = slot;
        mSize--;
        mTotal -= mAmounts[slot];
        return mAmounts[slot];
    }

    int size() {
        return mSize;
    }

    /** Returns the sum of what may still be returned. */
    long total() {
        return mTotal;
    }

    private int find(long id) {
        int slot = mHeads[head(id)];
        while (slot != NONE && mIds[slot] != id) {
            slot = mChain[slot];
        }
        return slot;
    }

    private void grow() {
        int old = mIds.length;
        int size = old * 2;
        mIds = Arrays.copyOf(mIds, size);
        mAmounts = Arrays.copyOf(mAmounts, size);
        mOlder = Arrays.copyOf(mOlder, size);
        mNewer = Arrays.copyOf(mNewer, size);
        mChain = new int[size];
        mHeads = new int[size];
        Arrays.fill(mHeads, NONE);
        for (int slot = mOldest; slot != NONE; slot = mNewer[slot]) {
            int head = head(mIds[slot]);
            mChain[slot] = mHeads[head];
            mHeads[head] = slot;
        }
        linkFree(old);
    }

    private int head(long id) {
        long mixed = id * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 32) & mHeads.length - 1;
    }

    private void linkFree(int from) {
        for (int slot = from; slot < mChain.length - 1; slot++) {
            mChain[slot] = slot + 1;
        }
        mChain[mChain.length - 1] = NONE;
        mFree = from;
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
