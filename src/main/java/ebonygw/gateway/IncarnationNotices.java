package ebonygw.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What incarnations of targets have said about themselves.
 *
 * <p>A notice is newer than any list of targets, so that it holds while the incarnation lasts, also
 * if its registration lapses and returns. Not thread-safe.
 */
final class IncarnationNotices {
    /** Maximum number of incarnations: several times the targets of a large fleet. */
    private static final int MAX_INCARNATIONS = 1_024;

    private final Map<String, Held> mByIncarnation = new LeastRecentlyUsed();

    /** The notices of one incarnation. */
    static final class Held {
        private boolean mLeaving;
        private long mLeavingSinceNanos;
        private long mPausedSinceNanos;
        private long mPausedUntilNanos = Long.MIN_VALUE;

        boolean isLeaving() {
            return mLeaving;
        }

        /** Returns when the target first said that it leaves; only if it did. */
        long leavingSinceNanos() {
            return mLeavingSinceNanos;
        }

        boolean isPaused(long nowNanos) {
            return nowNanos < mPausedUntilNanos;
        }

        /** Returns when the present pause began; only if there is one. */
        long pausedSinceNanos() {
            return mPausedSinceNanos;
        }

        /** Returns when the latest pause ends, {@link Long#MIN_VALUE} if there was none. */
        long pausedUntilNanos() {
            return mPausedUntilNanos;
        }

        /** Applies a notice; of several pauses the latest end counts. */
        void apply(TargetNotice notice, long nowNanos) {
            if (notice.leaving() && !mLeaving) {
                mLeaving = true;
                mLeavingSinceNanos = nowNanos;
            }
            if (notice.pauseNanos() > 0) {
                mPausedSinceNanos = isPaused(nowNanos) ? mPausedSinceNanos : nowNanos;
                mPausedUntilNanos = Math.max(mPausedUntilNanos, nowNanos + notice.pauseNanos());
            }
        }
    }

    /** Returns the notices of an incarnation, empty ones if it is new. */
    Held of(String incarnation) {
        return mByIncarnation.computeIfAbsent(incarnation, i -> new Held());
    }

    private static final class LeastRecentlyUsed extends LinkedHashMap<String, Held> {
        private static final long serialVersionUID = 1L;

        LeastRecentlyUsed() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Held> eldest) {
            return size() > MAX_INCARNATIONS;
        }
    }
}
