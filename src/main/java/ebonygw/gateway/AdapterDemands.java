package ebonygw.gateway;

import ebonygw.scheduling.DecayedRate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Which adapters entries wait for and use at one replica, and so what is loaded and evicted next.
 *
 * <p>Not thread-safe.
 */
final class AdapterDemands {
    /**
     * How long a wait stands unless it is repeated; a little longer than entries take to repeat.
     */
    private static final long STANDS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** How long an adapter stays after its last use; longer than entries take to tell of one. */
    private static final long LEAST_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** After how long a use counts half. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Adapters that are not resident whose use is remembered. */
    private static final int MOST_REMEMBERED = 500;

    private final Map<String, Wait> mWaits = new HashMap<>();
    private final Map<String, Use> mUses = new HashMap<>();
    private Set<String> mResident = Set.of();

    /** Notes that an entry waits for an adapter of at least a version. */
    void ask(String adapter, long version, long nowNanos) {
        Wait wait = mWaits.computeIfAbsent(adapter, a -> new Wait(nowNanos));
        wait.mLastNanos = nowNanos;
        wait.mAsks++;
        wait.mVersion = Math.max(wait.mVersion, version);
    }

    /** Returns adapters to load, those that most requests wait for first, else the oldest wait. */
    List<String> missing(Map<String, Long> resident, List<String> loading) {
        List<String> missing = new ArrayList<>();
        mWaits.forEach(
                (adapter, wait) -> {
                    boolean held = resident.getOrDefault(adapter, -1L) >= wait.mVersion;
                    if (!held && !loading.contains(adapter)) {
                        missing.add(adapter);
                    }
                });
        missing.sort(
                Comparator.comparingInt((String adapter) -> -mWaits.get(adapter).mAsks)
                        .thenComparingLong(adapter -> mWaits.get(adapter).mSinceNanos));
        return missing;
    }

    /** Takes in what is resident: newly loaded adapters count as used, waits for them end. */
    void resident(Map<String, Long> resident, long nowNanos) {
        for (String adapter : resident.keySet()) {
            if (!mResident.contains(adapter)) {
                used(adapter, 1, nowNanos);
            }
        }
        mResident = new HashSet<>(resident.keySet());
        mWaits.entrySet()
                .removeIf(
                        it ->
                                resident.getOrDefault(it.getKey(), -1L) >= it.getValue().mVersion
                                        || nowNanos - it.getValue().mLastNanos > STANDS_NANOS);
        if (mUses.size() > MOST_REMEMBERED) {
            mUses.keySet().retainAll(resident.keySet());
        }
    }

    /** Notes requests for an adapter, or with 0 that earlier ones still run. */
    void used(String adapter, int requests, long nowNanos) {
        Use use = mUses.computeIfAbsent(adapter, a -> new Use());
        use.mLastNanos = nowNanos;
        for (int i = 0; i < requests; i++) {
            use.mRate.add(1, nowNanos);
        }
    }

    /** Returns the resident adapter used least, empty if all are in use. */
    Optional<String> victim(Map<String, Long> resident, long nowNanos) {
        String victim = null;
        double least = Double.MAX_VALUE;
        for (String adapter : resident.keySet()) {
            Use use = mUses.computeIfAbsent(adapter, a -> new Use());
            double rate = use.mRate.perSecond(nowNanos);
            if (nowNanos - use.mLastNanos >= LEAST_IDLE_NANOS && rate < least) {
                victim = adapter;
                least = rate;
            }
        }
        return Optional.ofNullable(victim);
    }

    private static final class Use {
        private final DecayedRate mRate = new DecayedRate(HALF_LIFE_NANOS);
        private long mLastNanos;
    }

    private static final class Wait {
        private final long mSinceNanos;
        private long mVersion;
        private long mLastNanos;
        private int mAsks;

        Wait(long nowNanos) {
            mSinceNanos = nowNanos;
        }
    }
}
