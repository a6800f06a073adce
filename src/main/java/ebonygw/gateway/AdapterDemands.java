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
 * Aggregates the adapter demand that entries report for one replica, and decides from it which
 * adapter to load and which to evict next.
 *
 * <p>Not thread-safe.
 */
final class AdapterDemands {
    /**
     * Minimum time that an adapter stays resident after its last use. Covers the delay until an
     * entry in another region has reported a request that it has sent already.
     */
    private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Half-life of the usage rate that ranks adapters for eviction. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Number of tracked adapters above which usage of non-resident ones is discarded. */
    private static final int MAX_TRACKED_ADAPTERS = 500;

    private final Map<NodeId, Map<String, GatewayMessage.AdapterNeed>> mNeeds = new HashMap<>();
    private final Map<String, WaitingRequests> mWaiting = new HashMap<>();
    private final Map<String, Usage> mUsage = new HashMap<>();
    private Set<String> mResident = Set.of();

    /** Returns the resident adapter with the lowest usage rate, empty if all must stay. */
    Optional<String> evictionCandidate(Map<String, Long> resident, long nowNanos) {
        String candidate = null;
        double lowest = Double.MAX_VALUE;
        for (String adapter : resident.keySet()) {
            double rate = usage(adapter).mRate.perSecond(nowNanos);
            if (rate < lowest && !isRetained(adapter, nowNanos)) {
                candidate = adapter;
                lowest = rate;
            }
        }
        return Optional.ofNullable(candidate);
    }

    /**
     * Returns the adapters to load. Adapters with more waiting requests that can still start within
     * their latency objectives come first, then those with more waiting requests, then those that
     * have been waited for longest.
     */
    List<String> missingAdapters(Map<String, Long> resident, List<String> loading) {
        List<String> missing = new ArrayList<>();
        mWaiting.forEach(
                (adapter, wait) -> {
                    boolean upToDate = resident.getOrDefault(adapter, -1L) >= wait.mMinVersion;
                    if (!upToDate && !loading.contains(adapter)) {
                        missing.add(adapter);
                    }
                });
        missing.sort(
                Comparator.comparingInt((String adapter) -> -mWaiting.get(adapter).mWithinObjective)
                        .thenComparingInt(adapter -> -mWaiting.get(adapter).mCount)
                        .thenComparingLong(adapter -> mWaiting.get(adapter).mSinceNanos));
        return missing;
    }

    /**
     * Discards the needs of an entry whose connection is lost. Its adapters still count as used
     * now, because its requests may go on running for a while.
     */
    void onEntryDisconnected(NodeId entry, long nowNanos) {
        onNeeds(entry, List.of(), nowNanos);
        mNeeds.remove(entry);
    }

    /** Applies all needs of an entry, which replace those it reported before. */
    void onNeeds(NodeId entry, List<GatewayMessage.AdapterNeed> needs, long nowNanos) {
        Map<String, GatewayMessage.AdapterNeed> current = new HashMap<>();
        for (GatewayMessage.AdapterNeed need : needs) {
            current.put(need.adapter(), need);
            usage(need.adapter()).mRate.add(need.sent(), nowNanos);
        }
        Map<String, GatewayMessage.AdapterNeed> before = mNeeds.put(entry, current);
        if (before != null) {
            before.keySet().forEach(adapter -> usage(adapter).mLastUsedNanos = nowNanos);
        }
        current.keySet().forEach(adapter -> usage(adapter).mLastUsedNanos = nowNanos);
        recomputeWaiting(nowNanos);
    }

    /** Applies the set of resident adapters; newly loaded adapters count as used now. */
    void onResident(Map<String, Long> resident, long nowNanos) {
        for (String adapter : resident.keySet()) {
            if (!mResident.contains(adapter)) {
                usage(adapter).mLastUsedNanos = nowNanos;
            }
        }
        mResident = new HashSet<>(resident.keySet());
        if (mUsage.size() > MAX_TRACKED_ADAPTERS) {
            mUsage.keySet().retainAll(mResident);
        }
    }

    /**
     * Returns how many more adapters can be loaded at once, negative if adapters wait for a slot.
     *
     * @param capacity maximum number of adapters that the replica holds
     */
    int openSlots(Map<String, Long> resident, List<String> loading, int capacity, long nowNanos) {
        int retained = 0;
        for (String adapter : resident.keySet()) {
            if (isRetained(adapter, nowNanos)) {
                retained++;
            }
        }
        int waiting = 0;
        for (String adapter : missingAdapters(resident, loading)) {
            waiting += resident.containsKey(adapter) ? 0 : 1;
        }
        return capacity - retained - loading.size() - waiting;
    }

    /** Returns whether an adapter is in use, or may be in use by a request not reported yet. */
    private boolean isRetained(String adapter, long nowNanos) {
        if (nowNanos - usage(adapter).mLastUsedNanos < MIN_IDLE_NANOS) {
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

    /** Sums up the waiting requests of all entries by adapter. */
    private void recomputeWaiting(long nowNanos) {
        Map<String, WaitingRequests> waiting = new HashMap<>();
        for (Map<String, GatewayMessage.AdapterNeed> needs : mNeeds.values()) {
            for (GatewayMessage.AdapterNeed need : needs.values()) {
                if (need.waiting() > 0) {
                    WaitingRequests wait =
                            waiting.computeIfAbsent(need.adapter(), a -> new WaitingRequests());
                    wait.mCount += need.waiting();
                    wait.mWithinObjective += need.punctual();
                    wait.mMinVersion = Math.max(wait.mMinVersion, need.version());
                }
            }
        }
        waiting.forEach(
                (adapter, wait) -> {
                    WaitingRequests before = mWaiting.get(adapter);
                    wait.mSinceNanos = before == null ? nowNanos : before.mSinceNanos;
                });
        mWaiting.clear();
        mWaiting.putAll(waiting);
    }

    private Usage usage(String adapter) {
        return mUsage.computeIfAbsent(adapter, a -> new Usage());
    }

    private static final class Usage {
        private final DecayedRate mRate = new DecayedRate(HALF_LIFE_NANOS);
        private long mLastUsedNanos;
    }

    private static final class WaitingRequests {
        private long mSinceNanos;
        private long mMinVersion;
        private int mCount;
        private int mWithinObjective;
    }
}
