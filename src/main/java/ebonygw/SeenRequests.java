package ebonygw;

import ebonygw.protocol.NodeId;
import ebonygw.request.RequestId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which attempts have been seen, so that a doubled or late message starts nothing.
 *
 * <p>For each entry process the attempts of a window of sequence numbers are kept exactly; attempts
 * older than the window, or of an older incarnation, count as seen. Not thread-safe.
 */
final class SeenRequests {
    private final int mWindow;
    private final Map<NodeId, Window> mWindows = new HashMap<>();

    /**
     * Creates an empty memory.
     *
     * @param window attempts kept for each entry process, at least 1
     */
    SeenRequests(int window) {
        if (window < 1) {
            throw new IllegalArgumentException("window below 1: " + window);
        }
        mWindow = window;
    }

    /** Marks an attempt as seen; returns whether it was new. */
    boolean add(RequestId id, int attempt) {
        Window window = mWindows.get(id.entry());
        if (window == null || window.mIncarnation < id.incarnation()) {
            window = new Window(id.incarnation());
            mWindows.put(id.entry(), window);
        }
        return window.add(id, attempt, mWindow);
    }

    /** Returns for how many entry processes attempts are kept. */
    int entries() {
        return mWindows.size();
    }

    private static final class Window {
        private final long mIncarnation;
        private final LinkedHashMap<Long, Long> mAttempts = new LinkedHashMap<>();
        private long mForgottenUpTo;

        Window(long incarnation) {
            mIncarnation = incarnation;
        }

        boolean add(RequestId id, int attempt, int limit) {
            if (id.incarnation() < mIncarnation || id.sequence() <= mForgottenUpTo) {
                return false;
            }
            long bit = 1L << Math.min(attempt, Long.SIZE - 1);
            long before = mAttempts.getOrDefault(id.sequence(), 0L);
            if ((before & bit) != 0) {
                return false;
            }
            mAttempts.put(id.sequence(), before | bit);
            forget(limit);
            return true;
        }

        private void forget(int limit) {
            while (mAttempts.size() > limit) {
                long oldest = mAttempts.keySet().iterator().next();
                mAttempts.remove(oldest);
                mForgottenUpTo = Math.max(mForgottenUpTo, oldest);
            }
        }
    }
}
