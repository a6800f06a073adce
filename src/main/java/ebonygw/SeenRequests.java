package ebonygw;

import ebonygw.protocol.NodeId;
import ebonygw.request.RequestId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which attempts have been seen, so that a duplicate or delayed message runs nothing twice.
 *
 * <p>For each entry process it keeps the attempts of the newest requests. Attempts of requests that
 * have left this window, or of an older incarnation, count as seen. Not thread-safe.
 */
final class SeenRequests {
    private final int mMaxRequests;
    private final Map<NodeId, Window> mWindows = new HashMap<>();

    /**
     * Creates an empty record.
     *
     * @param maxRequests maximum number of requests kept for each entry process, at least 1
     * @throws IllegalArgumentException if {@code maxRequests} is out of its bounds
     */
    SeenRequests(int maxRequests) {
        if (maxRequests < 1) {
            throw new IllegalArgumentException("maxRequests must be at least 1: " + maxRequests);
        }
        mMaxRequests = maxRequests;
    }

    /** Marks an attempt as seen; returns whether it was new. */
    boolean add(RequestId id, int attempt) {
        Window window = mWindows.get(id.entry());
        if (window == null || window.mIncarnation < id.incarnation()) {
            window = new Window(id.incarnation());
            mWindows.put(id.entry(), window);
        }
        return window.add(id, attempt, mMaxRequests);
    }

    /** Returns the number of entry processes of which attempts are kept. */
    int entryCount() {
        return mWindows.size();
    }

    private static final class Window {
        private final long mIncarnation;
        private final LinkedHashMap<Long, Long> mAttempts = new LinkedHashMap<>();
        private long mEvictedUpTo;

        Window(long incarnation) {
            mIncarnation = incarnation;
        }

        boolean add(RequestId id, int attempt, int limit) {
            if (id.incarnation() < mIncarnation || id.sequence() <= mEvictedUpTo) {
                return false;
            }
            // One bit for each attempt; attempts of number 63 and higher share the last one.
            long bit = 1L << Math.min(attempt, Long.SIZE - 1);
            long seen = mAttempts.getOrDefault(id.sequence(), 0L);
            if ((seen & bit) != 0) {
                return false;
            }
            mAttempts.put(id.sequence(), seen | bit);
            evict(limit);
            return true;
        }

        private void evict(int limit) {
            while (mAttempts.size() > limit) {
                long oldest = mAttempts.keySet().iterator().next();
                mAttempts.remove(oldest);
                mEvictedUpTo = Math.max(mEvictedUpTo, oldest);
            }
        }
    }
}
