package ebonygw.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the recent survivals of each prompt part at one entry.
 *
 * <p>A survival counts for one to two windows. Bounded: the least recently used parts are dropped.
 * Not thread-safe.
 */
final class SurvivalCounts {
    /** Parts in use at once, several times over. */
    private static final int MAX_PARTS = 4_096;

    private final long mWindowNanos;
    private final int mMaxCount;
    private final Map<String, Count> mCounts = new Counts();

    /**
     * Creates empty counts.
     *
     * @param windowNanos the window, positive
     * @param maxCount number beyond which survivals are not counted
     */
    SurvivalCounts(long windowNanos, int maxCount) {
        mWindowNanos = windowNanos;
        mMaxCount = maxCount;
    }

    /** Adds a survival of a part. */
    void add(String part, long nowNanos) {
        Count count = mCounts.computeIfAbsent(part, p -> new Count());
        count.turn(nowNanos / mWindowNanos);
        count.mCurrent = Math.min(mMaxCount, count.mCurrent + 1);
    }

    /** Returns the number of survivals of a part in this window and the one before. */
    int get(String part, long nowNanos) {
        Count count = mCounts.get(part);
        if (count == null) {
            return 0;
        }
        count.turn(nowNanos / mWindowNanos);
        return Math.min(mMaxCount, count.mCurrent + count.mPrevious);
    }

    private static final class Count {
        private long mWindow;
        private int mCurrent;
        private int mPrevious;

        void turn(long window) {
            if (window != mWindow) {
                mPrevious = window == mWindow + 1 ? mCurrent : 0;
                mCurrent = 0;
                mWindow = window;
            }
        }
    }

    private static final class Counts extends LinkedHashMap<String, Count> {
        private static final long serialVersionUID = 1L;

        Counts() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Count> eldest) {
            return size() > MAX_PARTS;
        }
    }
}
