package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.Sighting;
import ebonygw.quarantine.Evidence.Survivals;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is known of one prompt part. Not thread-safe.
 *
 * <p>Once a limit is reached, further targets and observers are left out rather than older ones
 * dropped, which other entries would only send again.
 */
final class PartRecord {
    /** Maximum number of targets to remember; more than any number that blocks a part. */
    static final int MAX_TARGETS = 8;

    /** Maximum number of entries whose survivals are remembered; a few outweigh any crashes. */
    private static final int MAX_OBSERVERS = 8;

    /** When targets ended under the part. */
    final Map<String, Long> mCrashedNanos = new LinkedHashMap<>();

    /** When responses of targets broke off under the part. */
    final Map<String, Long> mBrokenNanos = new LinkedHashMap<>();

    /** Survivals by observer, and when they were set. */
    final Map<Long, Observation> mSurvivals = new HashMap<>();

    /** Targets whose crashes no longer count, since the block that they led to has ended. */
    final Set<String> mIgnored = new HashSet<>();

    /** When a crash or a broken response was last added. */
    long mTouchedNanos;

    /** When the part was blocked, or a further target crashed under it. */
    long mBlockedNanos;

    boolean mBlocked;

    /** Whether a block has ended by itself, so that a single crash blocks the part again. */
    boolean mOnProbation;

    /** Number of the last change, which orders the changes of all parts. */
    long mChange;

    /** A number of survivals, and when it was set. */
    record Observation(long sequence, int count, long nanos) {}

    /** Returns whether a further target may be added to those of a kind. */
    static boolean isFull(Map<String, Long> targets) {
        return targets.size() >= MAX_TARGETS;
    }

    /** Adds the survivals of an observer; returns whether they are new. */
    boolean addSurvivals(Survivals survivals, long nowNanos) {
        Observation known = mSurvivals.get(survivals.observer());
        boolean isNew =
                known == null
                        ? mSurvivals.size() < MAX_OBSERVERS
                        : known.sequence() < survivals.sequence();
        if (isNew) {
            mSurvivals.put(
                    survivals.observer(),
                    new Observation(
                            survivals.sequence(),
                            survivals.count(),
                            nowNanos - survivals.ageNanos()));
        }
        return isNew;
    }

    /** Returns the survivals that all entries have observed. */
    int survivals() {
        return mSurvivals.values().stream().mapToInt(Observation::count).sum();
    }

    /** Returns the time of the last crash, the lowest value without one. */
    long lastCrashNanos() {
        return mCrashedNanos.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Drops what has lost its meaning by its age. */
    void expire(QuarantineOptions options, long nowNanos) {
        mBrokenNanos.values().removeIf(at -> nowNanos - at > options.endNanos());
        long maxSurvivalAge = 2 * options.survivalWindowNanos();
        mSurvivals.values().removeIf(it -> nowNanos - it.nanos() > maxSurvivalAge);
        if (!mBlocked) {
            mCrashedNanos.values().removeIf(at -> nowNanos - at > options.evidenceNanos());
        }
    }

    Evidence.PartEvidence toEvidence(String part, long nowNanos) {
        List<Survivals> survivals = new ArrayList<>();
        mSurvivals.forEach(
                (observer, it) ->
                        survivals.add(
                                new Survivals(
                                        observer,
                                        it.sequence(),
                                        it.count(),
                                        nowNanos - it.nanos())));
        return new Evidence.PartEvidence(
                part,
                sightings(mCrashedNanos, nowNanos),
                sightings(mBrokenNanos, nowNanos),
                survivals);
    }

    private static List<Sighting> sightings(Map<String, Long> targets, long nowNanos) {
        List<Sighting> sightings = new ArrayList<>();
        targets.forEach((target, at) -> sightings.add(new Sighting(target, nowNanos - at)));
        return sightings;
    }
}
