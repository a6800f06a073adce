package ebonygw.gateway;

import ebonygw.protocol.NodeId;
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
     * How long an adapter stays after its last use: as long as an entry takes to tell of a request
     * that it has sent, with a link between regions on the way.
     */
    private static final long LEAST_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** After how long a use counts half. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Adapters that are not resident whose use is remembered. */
    private static final int MOST_REMEMBERED = 500;

    private final Map<NodeId, Map<String, GatewayMessage.AdapterNeed>> mNeeds = new HashMap<>();
    private final Map<String, Wait> mWaits = new HashMap<>();
    private final Map<String, Use> mUses = new HashMap<>();
    private Set<String> mResident = Set.of();

    /** Forgets what an entry needs whose link is lost; its requests may run for a while yet. */
    void forget(NodeId entry, long nowNanos) {
        told(entry, List.of(), nowNanos);
        mNeeds.remove(entry);
    }

    /**
     * Returns adapters to load: first those by which most requests can still start within their
     * latency objectives, then those that most requests wait for, then the oldest wait.
     */
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
                Comparator.comparingInt((String adapter) -> -mWaits.get(adapter).mPunctual)
                        .thenComparingInt(adapter -> -mWaits.get(adapter).mRequests)
                        .thenComparingLong(adapter -> mWaits.get(adapter).mSinceNanos));
        return missing;
    }

    /**
     * Returns how many more adapters can be placed at once, below 0 if some wait for a place.
     *
     * @param capacity adapters that the replica holds at most
     */
    int openPlaces(Map<String, Long> resident, List<String> loading, int capacity, long nowNanos) {
        int kept = 0;
        for (String adapter : resident.keySet()) {
            if (isKept(adapter, nowNanos)) {
                kept++;
            }
        }
        int waiting = 0;
        for (String adapter : missing(resident, loading)) {
            waiting += resident.containsKey(adapter) ? 0 : 1;
        }
        return capacity - kept - loading.size() - waiting;
    }

    /** Takes in what is resident; newly loaded adapters count as used. */
    void resident(Map<String, Long> resident, long nowNanos) {
        for (String adapter : resident.keySet()) {
            if (!mResident.contains(adapter)) {
                use(adapter).mLastNanos = nowNanos;
            }
        }
        mResident = new HashSet<>(resident.keySet());
        if (mUses.size() > MOST_REMEMBERED) {
            mUses.keySet().retainAll(mResident);
        }
    }

    /** Takes in all that an entry needs, in place of what it told before. */
    void told(NodeId entry, List<GatewayMessage.AdapterNeed> needs, long nowNanos) {
        Map<String, GatewayMessage.AdapterNeed> now = new HashMap<>();
        for (GatewayMessage.AdapterNeed need : needs) {
            now.put(need.adapter(), need);
            use(need.adapter()).mRate.add(need.sent(), nowNanos);
        }
        Map<String, GatewayMessage.AdapterNeed> before = mNeeds.put(entry, now);
        if (before != null) {
            before.keySet().forEach(adapter -> use(adapter).mLastNanos = nowNanos);
        }
        now.keySet().forEach(adapter -> use(adapter).mLastNanos = nowNanos);
        countWaits(nowNanos);
    }

    /** Returns the resident adapter used least, empty if all are in use. */
    Optional<String> victim(Map<String, Long> resident, long nowNanos) {
        String victim = null;
        double least = Double.MAX_VALUE;
        for (String adapter : resident.keySet()) {
            double rate = use(adapter).mRate.perSecond(nowNanos);
            if (rate < least && !isKept(adapter, nowNanos)) {
                victim = adapter;
                least = rate;
            }
        }
        return Optional.ofNullable(victim);
    }

    private void countWaits(long nowNanos) {
        Map<String, Wait> waits = new HashMap<>();
        for (Map<String, GatewayMessage.AdapterNeed> needs : mNeeds.values()) {
            for (GatewayMessage.AdapterNeed need : needs.values()) {
                if (need.waiting() > 0) {
                    Wait wait = waits.computeIfAbsent(need.adapter(), a -> new Wait());
                    wait.mRequests += need.waiting();
                    wait.mPunctual += need.punctual();
                    wait.mVersion = Math.max(wait.mVersion, need.version());
                }
            }
        }
        waits.forEach(
                (adapter, wait) -> {
                    Wait before = mWaits.get(adapter);
                    wait.mSinceNanos = before == null ? nowNanos : before.mSinceNanos;
                });
        mWaits.clear();
        mWaits.putAll(waits);
    }

    /** Returns whether an adapter is in use, or may be before this process hears of it. */
    private boolean isKept(String adapter, long nowNanos) {
        if (nowNanos - use(adapter).mLastNanos < LEAST_IDLE_NANOS) {
            return true;
        }
        for (Map<String, GatewayMessage.AdapterNeed> needs : mNeeds.values()) {
            GatewayMessage.AdapterNeed need = needs.get(adapter);
            if (need != null && (need.running() > 0 || need.waiting() > 0)) {
                return true;
            }
        }
        return false;
    }

    private Use use(String adapter) {
        return mUses.computeIfAbsent(adapter, a -> new Use());
    }

    private static final class Use {
        private final DecayedRate mRate = new DecayedRate(HALF_LIFE_NANOS);
        private long mLastNanos;
    }

    private static final class Wait {
        private long mSinceNanos;
        private long mVersion;
        private int mRequests;
        private int mPunctual;
    }
}
