package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Ranks adapter versions for eviction by their decayed request rate times their load time.
 *
 * <p>The request rate of versions that are not resident is kept too, up to a maximum number, so
 * that a version that is loaded again is ranked by its whole history. Not thread-safe.
 */
final class EvictionPolicy {
    /** Weight of a first use, below 1: most versions used once are not used again soon. */
    private static final double FIRST_USE_WEIGHT = 0.56;

    /** Decayed count below which a use counts as a first use. */
    private static final double FIRST_USE_MAX_COUNT = 0.3;

    private final SchedulerOptions mOptions;
    private final Map<AdapterVersion, Demand> mDemand = new HashMap<>();

    EvictionPolicy(SchedulerOptions options) {
        mOptions = options;
    }

    /** Records the duration of a load. */
    void recordLoad(AdapterVersion adapter, long loadNanos) {
        Demand demand = demand(adapter);
        demand.mLoadNanos += (loadNanos - demand.mLoadNanos) / 4;
    }

    /** Records a request for an adapter version. */
    void recordUse(AdapterVersion adapter, long nowNanos) {
        if (!mDemand.containsKey(adapter) && mDemand.size() >= mOptions.maxRemembered()) {
            removeLeastValuable(nowNanos);
        }
        DecayedRate rate = demand(adapter).mRate;
        rate.add(rate.count(nowNanos) < FIRST_USE_MAX_COUNT ? FIRST_USE_WEIGHT : 1, nowNanos);
    }

    /** Returns the load time that keeping a version resident saves, in seconds per second. */
    double value(AdapterVersion adapter, long nowNanos) {
        Demand demand = mDemand.get(adapter);
        return demand == null ? 0 : demand.mRate.perSecond(nowNanos) * demand.mLoadNanos / 1e9;
    }

    /**
     * Returns the evictable slot with the minimum value, empty if there is none. Versions that
     * queued work waits for are chosen last.
     */
    Optional<SlotTable.Slot> victim(Collection<SlotTable.Slot> slots, long nowNanos) {
        SlotTable.Slot victim = null;
        double minValue = Double.POSITIVE_INFINITY;
        for (SlotTable.Slot slot : slots) {
            if (!slot.isEvictable()) {
                continue;
            }
            double value = value(slot.mAdapter, nowNanos) * (1 + slot.mWaiting) + slot.mWaiting;
            if (value < minValue) {
                victim = slot;
                minValue = value;
            }
        }
        return Optional.ofNullable(victim);
    }

    private Demand demand(AdapterVersion adapter) {
        return mDemand.computeIfAbsent(adapter, a -> new Demand(mOptions));
    }

    /** Removes about an eighth of the remembered versions. */
    private void removeLeastValuable(long nowNanos) {
        List<Double> values =
                mDemand.keySet().stream().map(a -> value(a, nowNanos)).sorted().toList();
        double limit = values.get(values.size() / 8);
        mDemand.keySet().removeIf(a -> value(a, nowNanos) <= limit);
    }

    private static final class Demand {
        private final DecayedRate mRate;
        private double mLoadNanos;

        Demand(SchedulerOptions options) {
            mRate = new DecayedRate(options.popularityHalfLifeNanos());
            mLoadNanos = options.expectedLoadNanos();
        }
    }
}
