package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Values adapter versions by how often and how lately they were asked for and what a load costs.
 *
 * <p>The popularity of versions that are not resident is remembered too, within a bound, so that a
 * version that comes back is valued by its whole past. Not thread-safe.
 */
final class EvictionPolicy {
    /** A first use counts less: most versions that were used once are not used again soon. */
    private static final double FIRST_USE = 0.56;

    /** A decayed count below which a use is taken for a first one. */
    private static final double FORGOTTEN_COUNT = 0.3;

    private final SchedulerOptions mOptions;
    private final Map<AdapterVersion, Demand> mDemand = new HashMap<>();

    EvictionPolicy(SchedulerOptions options) {
        mOptions = options;
    }

    /** Records how long a load took. */
    void loaded(AdapterVersion adapter, long loadNanos) {
        Demand demand = demand(adapter);
        demand.mLoadNanos += (loadNanos - demand.mLoadNanos) / 4;
    }

    /** Records that an adapter version was asked for. */
    void used(AdapterVersion adapter, long nowNanos) {
        if (!mDemand.containsKey(adapter) && mDemand.size() >= mOptions.maxRemembered()) {
            forgetLeast(nowNanos);
        }
        DecayedRate rate = demand(adapter).mRate;
        rate.add(rate.count(nowNanos) < FORGOTTEN_COUNT ? FIRST_USE : 1, nowNanos);
    }

    /** Returns the expected load time in seconds a second that keeping a version saves. */
    double value(AdapterVersion adapter, long nowNanos) {
        Demand demand = mDemand.get(adapter);
        return demand == null ? 0 : demand.mRate.perSecond(nowNanos) * demand.mLoadNanos / 1e9;
    }

    /** Returns the slot whose loss costs least, among those that nothing uses. */
    Optional<SlotTable.Slot> victim(Collection<SlotTable.Slot> slots, long nowNanos) {
        SlotTable.Slot least = null;
        double leastValue = Double.POSITIVE_INFINITY;
        for (SlotTable.Slot slot : slots) {
            if (!slot.evictable()) {
                continue;
            }
            double value = value(slot.mAdapter, nowNanos) * (1 + slot.mWaiting) + slot.mWaiting;
            if (value < leastValue) {
                least = slot;
                leastValue = value;
            }
        }
        return Optional.ofNullable(least);
    }

    private Demand demand(AdapterVersion adapter) {
        return mDemand.computeIfAbsent(adapter, a -> new Demand(mOptions));
    }

    private void forgetLeast(long nowNanos) {
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
