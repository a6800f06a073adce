package ebonygw.http;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried.
 *
 * <p>Holds their hash codes only, so that ids of any length take the same memory: an id that was
 * carried is always found, and one that was not is rarely found as well. Not thread-safe.
 */
final class CarriedIds {
    /** Maximum number of ids, 4 bytes each. */
    static final int MAX_IDS = 1_024;

    private static final int INITIAL_CAPACITY = 16;

    private int[] mHashes = new int[INITIAL_CAPACITY];
    private int mCount;

    /**
     * Adds an id.
     *
     * @throws IllegalStateException if it is full
     */
    void add(String id) {
        if (isFull()) {
            throw new IllegalStateException("more than " + MAX_IDS + " ids");
        }
        if (mCount == mHashes.length) {
            mHashes = Arrays.copyOf(mHashes, 2 * mCount);
        }
        mHashes[mCount] = id.hashCode();
        mCount++;
    }

    /** Returns whether an id, or another one with its hash code, was added. */
    boolean contains(String id) {
        int hash = id.hashCode();
        for (int i = 0; i < mCount; i++) {
            if (mHashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    boolean isFull() {
        return mCount == MAX_IDS;
    }
}
