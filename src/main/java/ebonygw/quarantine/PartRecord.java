package ebonygw.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What is known of one prompt part. Not thread-safe. */
final class PartRecord {
    /** Maximum number of targets to remember; more than any number that blocks a part. */
    static final int MAX_TARGETS = 8;

    /** When each target was first known to have ended under the part. */
    final Map<String, Long> mCrashedNanos = new Recent<>();

    /** When a response of each target broke off under the part. */
    final Map<String, Long> mBrokenNanos = new Recent<>();

    /** Survivals by observer. */
    final Map<Long, Observation> mSurvivals = new Recent<>();

    /** Targets whose crashes no longer count, since an operator has lifted the block. */
    final Set<String> mIgnored = new HashSet<>();

    long mTouchedNanos;

    /** When the part was blocked, or a further target crashed under it. */
    long mBlockedNanos;

    boolean mBlocked;

    /** Number of the last change, which orders the changes of all parts. */
    long mChange;

    /** Sequence and time of a number of survivals. */
    record Observation(Evidence.Survivals survivals, long receivedNanos) {}

    /** Returns the survivals that all entries have observed recently. */
    int survivals(long nowNanos, long maxAgeNanos) {
        int count = 0;
        for (Observation observation : mSurvivals.values()) {
            if (nowNanos - observation.receivedNanos() <= maxAgeNanos) {
                count += observation.survivals().count();
            }
        }
        return count;
    }

    /** Returns the time of the last crash, the lowest value without one. */
    long lastCrashNanos() {
        return mCrashedNanos.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    Evidence.PartEvidence toEvidence(String part) {
        List<Evidence.Survivals> survivals = new ArrayList<>();
        mSurvivals.values().forEach(it -> survivals.add(it.survivals()));
        return new Evidence.PartEvidence(
                part,
                List.copyOf(mCrashedNanos.keySet()),
                List.copyOf(mBrokenNanos.keySet()),
                survivals);
    }

    /** Drops the oldest entries beyond a limit. */
    private static final class Recent<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > MAX_TARGETS;
        }
    }
}
