package ebonygw.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Which adapters entries have asked for at one replica, and what is loaded or evicted next.
 *
 * <p>Not thread-safe.
 */
final class AdapterDemands {
    /** How long a request for a load stands unless it is repeated. */
    private static final long STANDS_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** How long an adapter stays after its last request: a first token's latency objective. */
    private static final long LEAST_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Map<String, Demand> mDemands = new HashMap<>();

    /** Notes that an entry sends requests for an adapter, or waits to. */
    void ask(String adapter, long version, long nowNanos) {
        Demand demand = mDemands.computeIfAbsent(adapter, a -> new Demand());
        if (nowNanos - demand.mLastNanos > STANDS_NANOS) {
            demand.mFirstNanos = nowNanos;
        }
        demand.mLastNanos = nowNanos;
        demand.mVersion = Math.max(demand.mVersion, version);
    }

    /** Returns adapters to load, those asked for first before the others. */
    List<String> missing(Map<String, Long> resident, List<String> loading, long nowNanos) {
        List<String> missing = new ArrayList<>();
        mDemands.forEach(
                (adapter, demand) -> {
                    boolean stands = nowNanos - demand.mLastNanos <= STANDS_NANOS;
                    boolean held = resident.getOrDefault(adapter, -1L) >= demand.mVersion;
                    if (stands && !held && !loading.contains(adapter)) {
                        missing.add(adapter);
                    }
                });
        missing.sort((a, b) -> Long.compare(first(a), first(b)));
        return missing;
    }

    /** Returns the resident adapter that was asked for longest ago, empty if all are in use. */
    Optional<String> victim(Map<String, Long> resident, long nowNanos) {
        String victim = null;
        for (String adapter : resident.keySet()) {
            boolean idle = nowNanos - last(adapter) >= LEAST_IDLE_NANOS;
            if (idle && (victim == null || last(adapter) < last(victim))) {
                victim = adapter;
            }
        }
        return Optional.ofNullable(victim);
    }

    /** Forgets what was asked for long ago and is not resident. */
    void trim(Map<String, Long> resident, long nowNanos) {
        mDemands.entrySet()
                .removeIf(
                        it ->
                                !resident.containsKey(it.getKey())
                                        && nowNanos - it.getValue().mLastNanos > STANDS_NANOS);
    }

    private long first(String adapter) {
        return mDemands.get(adapter).mFirstNanos;
    }

    private long last(String adapter) {
        Demand demand = mDemands.get(adapter);
        return demand == null ? 0 : demand.mLastNanos;
    }

    private static final class Demand {
        private long mVersion;
        private long mFirstNanos;
        private long mLastNanos;
    }
}
