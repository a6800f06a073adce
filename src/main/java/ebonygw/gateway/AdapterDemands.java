package ebonygw.gateway;

import ebonygw.protocol.NodeId;
import ebonygw.scheduling.DecayedRate;
import java.util.ArrayList;
import java.util.Collections;
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

    /**
     * Every how many loads the adapter is loaded whose late requests have the least time left until
     * their deadline, whatever their priority, so that it is loaded at last. With one of two, more
     * requests of the most urgent priority are late.
     */
    private static final int LOADS_PER_LATE = 4;

    /** Half-life of the loads given to a customer: some loads of 250 ms at four in parallel. */
    private static final long LOADS_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Maximum number of customers whose loads are counted. */
    private static final int MAX_CUSTOMERS = 100;

    /** Maximum remaining time taken from a message; no request has a longer deadline. */
    private static final long MAX_REMAINING_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final Map<NodeId, Map<String, GatewayMessage.AdapterNeed>> mNeeds = new HashMap<>();
    private final Map<NodeId, Long> mReceivedNanos = new HashMap<>();
    private final Map<String, DecayedRate> mLoadsByCustomer = new HashMap<>();
    private final Map<String, WaitingRequests> mWaiting = new HashMap<>();
    private final Map<String, Usage> mUsage = new HashMap<>();
    private Set<String> mResident = Set.of();
    private long mUpdatedNanos;
    private long mLoads;

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

    /** Returns the inputs by which a missing adapter was ranked, for the log. */
    String describe(String adapter, long nowNanos) {
        WaitingRequests wait = mWaiting.get(adapter);
        return String.format(
                "priority=%d remaining_ms=%d waiting=%d since_ms=%d customer=%s",
                wait.mPriority,
                (wait.mDueNanos - nowNanos) / 1_000_000,
                wait.mCount,
                (nowNanos - wait.mSinceNanos) / 1_000_000,
                wait.mCustomer);
    }

    /** Returns whether any entry reports how urgent its waiting requests are. */
    boolean hasUrgency() {
        return mWaiting.values().stream().anyMatch(it -> it.mHasUrgency);
    }

    /**
     * Returns the adapters to load. If entries report urgency: those first whose requests can still
     * start within their latency objectives; among these the most urgent priority first, then those
     * of the customer with the fewest recent loads, then those with more such requests, then those
     * with the least time left. Every fourth load is for the late requests with the earliest
     * deadline.
     *
     * <p>Otherwise adapters with more waiting requests that can still start within their latency
     * objectives come first, then those with more waiting requests, then those that have been
     * waited for longest.
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
        if (hasUrgency()) {
            sortByUrgency(missing);
            return missing;
        }
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
        mReceivedNanos.remove(entry);
    }

    /** Counts a load that is given to the customer whose requests wait for the adapter. */
    void onLoadOrdered(String adapter, long nowNanos) {
        WaitingRequests wait = mWaiting.get(adapter);
        if (wait == null || !wait.mHasUrgency) {
            return;
        }
        mUpdatedNanos = nowNanos;
        mLoads++;
        if (mLoadsByCustomer.size() >= MAX_CUSTOMERS) {
            mLoadsByCustomer.clear();
        }
        mLoadsByCustomer
                .computeIfAbsent(wait.mCustomer, c -> new DecayedRate(LOADS_HALF_LIFE_NANOS))
                .add(1, nowNanos);
    }

    /** Applies all needs of an entry, which replace those it reported before. */
    void onNeeds(NodeId entry, List<GatewayMessage.AdapterNeed> needs, long nowNanos) {
        mUpdatedNanos = nowNanos;
        mReceivedNanos.put(entry, nowNanos);
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
        for (Map.Entry<NodeId, Map<String, GatewayMessage.AdapterNeed>> entry : mNeeds.entrySet()) {
            for (GatewayMessage.AdapterNeed need : entry.getValue().values()) {
                if (need.waiting() > 0) {
                    WaitingRequests wait =
                            waiting.computeIfAbsent(need.adapter(), a -> new WaitingRequests());
                    wait.mCount += need.waiting();
                    wait.mWithinObjective += need.punctual();
                    wait.mMinVersion = Math.max(wait.mMinVersion, need.version());
                    need.urgency()
                            .ifPresent(it -> wait.apply(it, mReceivedNanos.get(entry.getKey())));
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

    /** Sorts adapters by the urgency of the requests that wait for them. */
    private void sortByUrgency(List<String> missing) {
        Map<String, Double> loads = new HashMap<>();
        mLoadsByCustomer.forEach(
                (customer, rate) -> loads.put(customer, rate.count(mUpdatedNanos)));
        missing.sort(
                Comparator.comparing(
                                (String adapter) -> mWaiting.get(adapter).mWithinObjective == 0)
                        .thenComparingInt(adapter -> mWaiting.get(adapter).mPriority)
                        .thenComparingDouble(
                                adapter -> loads.getOrDefault(mWaiting.get(adapter).mCustomer, 0.0))
                        .thenComparingInt(adapter -> -mWaiting.get(adapter).mWithinObjective)
                        .thenComparingLong(adapter -> mWaiting.get(adapter).mDueNanos)
                        .thenComparing(adapter -> adapter));
        if (!missing.isEmpty() && mLoads % LOADS_PER_LATE == LOADS_PER_LATE - 1) {
            String due =
                    Collections.min(
                            missing,
                            Comparator.comparing(
                                            (String adapter) ->
                                                    mWaiting.get(adapter).mWithinObjective > 0)
                                    .thenComparingLong(adapter -> mWaiting.get(adapter).mDueNanos));
            missing.remove(due);
            missing.add(0, due);
        }
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
        private boolean mHasUrgency;
        private int mPriority = Integer.MAX_VALUE;
        private long mDueNanos = Long.MAX_VALUE;
        private String mCustomer = "";

        /** Applies the urgency that an entry reported, if it is greater. */
        void apply(GatewayMessage.Urgency urgency, long receivedNanos) {
            mHasUrgency = true;
            long dueNanos =
                    receivedNanos
                            + TimeUnit.MILLISECONDS.toNanos(
                                    Math.min(MAX_REMAINING_MILLIS, urgency.remainingMillis()));
            if (urgency.priority() < mPriority
                    || urgency.priority() == mPriority && dueNanos < mDueNanos) {
                mPriority = urgency.priority();
                mDueNanos = dueNanos;
                mCustomer = urgency.customer();
            }
        }
    }
}
