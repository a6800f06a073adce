package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.Survivals;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Survivals of one prompt part as all entries have observed them. Not thread-safe. */
final class PartSurvivals {
    /** Maximum number of entries whose survivals are remembered; a few outweigh any crashes. */
    private static final int MAX_OBSERVERS = 8;

    private final Map<Long, Observation> mByObserver = new HashMap<>();

    /** Number of the last change, which orders the changes of all parts. */
    long mChange;

    /** Numbers of survivals, and when they were set. */
    private record Observation(long sequence, int count, int remembered, long nanos) {}

    /**
     * Adds the survivals of an observer; returns whether they are new. One more than the maximum
     * takes the place of the oldest if that is out of date and older.
     */
    boolean add(Survivals survivals, QuarantineOptions options, long nowNanos) {
        Observation known = mByObserver.get(survivals.observer());
        if (known != null && known.sequence() >= survivals.sequence()) {
            return false;
        }
        long atNanos = nowNanos - survivals.ageNanos();
        if (known == null && mByObserver.size() >= MAX_OBSERVERS) {
            Map.Entry<Long, Observation> oldest =
                    mByObserver.entrySet().stream()
                            .min(Comparator.comparingLong(it -> it.getValue().nanos()))
                            .orElseThrow();
            if (isRecent(oldest.getValue(), options, nowNanos)
                    || atNanos <= oldest.getValue().nanos()) {
                return false;
            }
            mByObserver.remove(oldest.getKey());
        }
        mByObserver.put(
                survivals.observer(),
                new Observation(
                        survivals.sequence(), survivals.count(), survivals.remembered(), atNanos));
        return true;
    }

    /** Returns whether the numbers of an observer differ from these, or have to be renewed. */
    boolean isOutdated(
            long observer, int count, int remembered, QuarantineOptions options, long nowNanos) {
        Observation own = mByObserver.get(observer);
        if (own == null) {
            return count > 0 || remembered > 0;
        }
        return own.count() != count
                || own.remembered() != remembered
                || count > 0 && nowNanos - own.nanos() >= options.survivalWindowNanos();
    }

    /** Returns the recent survivals. */
    int recent(QuarantineOptions options, long nowNanos) {
        return mByObserver.values().stream()
                .filter(it -> isRecent(it, options, nowNanos))
                .mapToInt(Observation::count)
                .sum();
    }

    /** Returns the survivals over the longer time. */
    int remembered() {
        return mByObserver.values().stream().mapToInt(Observation::remembered).sum();
    }

    /** Drops what has lost its meaning by its age. */
    void expire(QuarantineOptions options, long nowNanos) {
        mByObserver.values().removeIf(it -> nowNanos - it.nanos() > options.memoryNanos());
    }

    boolean isEmpty() {
        return mByObserver.isEmpty();
    }

    Evidence.PartEvidence toEvidence(String part, long nowNanos) {
        List<Survivals> survivals = new ArrayList<>();
        mByObserver.forEach(
                (observer, it) ->
                        survivals.add(
                                new Survivals(
                                        observer,
                                        it.sequence(),
                                        it.count(),
                                        it.remembered(),
                                        nowNanos - it.nanos())));
        return new Evidence.PartEvidence(PartSet.of(part), List.of(), List.of(), survivals);
    }

    private static boolean isRecent(Observation it, QuarantineOptions options, long nowNanos) {
        return nowNanos - it.nanos() <= 2 * options.survivalWindowNanos();
    }
}
