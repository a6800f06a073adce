package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.Sighting;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Targets that have ended under one combination of prompt parts: that of a response which had begun
 * just before. Not thread-safe.
 *
 * <p>Once a limit is reached, further targets are left out rather than older ones dropped, which
 * other entries would only send again.
 */
final class CombinationRecord {
    /** Maximum number of targets to remember; more than any number that blocks a part. */
    static final int MAX_TARGETS = 8;

    /** When targets ended under the combination. */
    final Map<String, Long> mCrashedNanos = new LinkedHashMap<>();

    /** When responses of targets broke off under the combination. */
    final Map<String, Long> mBrokenNanos = new LinkedHashMap<>();

    /** Targets whose crashes no longer count, since the block that they led to has ended. */
    final Set<String> mIgnored = new HashSet<>();

    /** When a crash or a broken response was last added. */
    long mTouchedNanos;

    /** Number of the last change, which orders the changes of all combinations. */
    long mChange;

    /** Returns whether a further target may be added to those of a kind. */
    static boolean isFull(Map<String, Long> targets) {
        return targets.size() >= MAX_TARGETS;
    }

    /** Makes the known crashes and broken responses count no longer. */
    void ignoreCrashes() {
        mIgnored.addAll(mCrashedNanos.keySet());
        mCrashedNanos.clear();
        mBrokenNanos.clear();
    }

    /**
     * Drops what has lost its meaning by its age.
     *
     * @param blocked whether the combination is blocked, so that its crashes stay
     */
    void expire(boolean blocked, QuarantineOptions options, long nowNanos) {
        mBrokenNanos.values().removeIf(at -> nowNanos - at > options.endNanos());
        if (!blocked) {
            mCrashedNanos.values().removeIf(at -> nowNanos - at > options.evidenceNanos());
        }
    }

    /** Returns whether nothing is left to remember. */
    boolean isForgotten(boolean blocked, QuarantineOptions options, long nowNanos) {
        boolean empty = !blocked && mCrashedNanos.isEmpty() && mIgnored.isEmpty();
        return nowNanos - mTouchedNanos > (empty ? options.endNanos() : options.forgetNanos());
    }

    Evidence.PartEvidence toEvidence(PartSet parts, long nowNanos) {
        return new Evidence.PartEvidence(
                parts,
                sightings(mCrashedNanos, nowNanos),
                sightings(mBrokenNanos, nowNanos),
                List.of());
    }

    private static List<Sighting> sightings(Map<String, Long> targets, long nowNanos) {
        List<Sighting> sightings = new ArrayList<>();
        targets.forEach((target, at) -> sightings.add(new Sighting(target, nowNanos - at)));
        return sightings;
    }
}
