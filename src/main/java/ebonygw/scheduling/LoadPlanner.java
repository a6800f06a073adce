package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import ebonygw.scheduling.SchedulerAction.Evict;
import ebonygw.scheduling.SchedulerAction.Load;
import ebonygw.scheduling.SlotTable.Slot;
import ebonygw.scheduling.SlotTable.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides which adapter versions to load and evict: first for queued work in fair order, then for
 * prefetches.
 *
 * <p>A version is loaded once, regardless of how much work waits for it. The work for which a load
 * is ordered reserves the slot, so that the version is not evicted before that work starts. Not
 * thread-safe.
 */
final class LoadPlanner {
    private static final int MAX_PREFETCHES = 64;

    private final SchedulerOptions mOptions;
    private final SlotTable mSlots;
    private final EvictionPolicy mEviction;
    private final LoadFailures mFailures;
    private final Deque<AdapterVersion> mPrefetches = new ArrayDeque<>();

    /** Loads charged to the budget whose order waits for an unload. */
    private int mChargedLoads;

    /** Unloads in progress that make room for charged loads, less those counted in this plan. */
    private int mUnloadsAwaited;

    LoadPlanner(
            SchedulerOptions options,
            SlotTable slots,
            EvictionPolicy eviction,
            LoadFailures failures) {
        mOptions = options;
        mSlots = slots;
        mEviction = eviction;
        mFailures = failures;
    }

    /** Adds the loads and evictions to order now to {@code actions}. */
    void plan(
            FairQueue<QueuedWork> queue,
            long nowNanos,
            BooleanSupplier loadBudget,
            List<SchedulerAction> actions) {
        mUnloadsAwaited = Math.min(mChargedLoads, mSlots.adaptersIn(State.UNLOADING).size());
        for (QueuedWork work : worksNeedingLoad(queue, nowNanos)) {
            if (!mayLoadMore() || !orderLoad(work.mAdapter, nowNanos, loadBudget, actions)) {
                return;
            }
            Slot slot = mSlots.get(work.mAdapter);
            if (slot != null) {
                slot.mReservations++;
                work.mHoldsReservation = true;
            }
        }
        planPrefetches(nowNanos, loadBudget, actions);
    }

    void prefetch(AdapterVersion adapter) {
        if (mPrefetches.size() < MAX_PREFETCHES && !mPrefetches.contains(adapter)) {
            mPrefetches.add(adapter);
        }
    }

    void reset() {
        mPrefetches.clear();
        mChargedLoads = 0;
    }

    private boolean evictLeastValuable(long nowNanos, List<SchedulerAction> actions) {
        Optional<Slot> victim = mEviction.victim(mSlots.slots(), nowNanos);
        if (victim.isEmpty()) {
            return false;
        }
        mSlots.put(victim.get().mAdapter, State.UNLOADING, nowNanos);
        actions.add(new Evict(victim.get().mAdapter));
        return true;
    }

    /**
     * Charges one load to the budget, unless an earlier charge is left over.
     *
     * @param reserved number of earlier charges that must be kept for loads awaiting an unload
     * @param loadBudget charges the weight store's budget
     * @return whether the load is charged
     */
    private boolean chargeLoad(int reserved, BooleanSupplier loadBudget) {
        if (mChargedLoads > reserved) {
            mChargedLoads--;
            return true;
        }
        return loadBudget.getAsBoolean();
    }

    private boolean mayLoadMore() {
        int unloading = mSlots.adaptersIn(State.UNLOADING).size();
        int busy = mSlots.adaptersIn(State.LOADING).size() + unloading;
        return mSlots.capacity() > 0 && busy < mOptions.maxLoadsInFlight();
    }

    /** Orders a load, or an eviction to make room; returns whether further loads may be planned. */
    private boolean orderLoad(
            AdapterVersion adapter,
            long nowNanos,
            BooleanSupplier loadBudget,
            List<SchedulerAction> actions) {
        if (mSlots.freeSlots() > 0) {
            if (!chargeLoad(0, loadBudget)) {
                return false;
            }
            mSlots.put(adapter, State.LOADING, nowNanos);
            actions.add(new Load(adapter));
            return true;
        }
        if (mUnloadsAwaited > 0) {
            mUnloadsAwaited--;
            return true;
        }
        int unloading = mSlots.adaptersIn(State.UNLOADING).size();
        if (mEviction.victim(mSlots.slots(), nowNanos).isEmpty()
                || !chargeLoad(unloading, loadBudget)) {
            return false;
        }
        mChargedLoads++;
        return evictLeastValuable(nowNanos, actions);
    }

    private void planPrefetches(
            long nowNanos, BooleanSupplier loadBudget, List<SchedulerAction> actions) {
        Iterator<AdapterVersion> prefetches = mPrefetches.iterator();
        while (prefetches.hasNext() && mayLoadMore()) {
            AdapterVersion adapter = prefetches.next();
            if (mSlots.get(adapter) != null || !isWorthPrefetching(adapter, nowNanos)) {
                prefetches.remove();
                continue;
            }
            if (!mFailures.mayLoad(adapter, nowNanos)) {
                continue;
            }
            if (!orderLoad(adapter, nowNanos, loadBudget, actions)) {
                return;
            }
            if (mSlots.get(adapter) != null) {
                prefetches.remove();
            }
        }
    }

    /** Returns whether a slot is free or can be freed from a version that no queued work needs. */
    private boolean isWorthPrefetching(AdapterVersion adapter, long nowNanos) {
        if (mSlots.freeSlots() > 0) {
            return true;
        }
        Optional<Slot> victim = mEviction.victim(mSlots.slots(), nowNanos);
        return victim.isPresent() && victim.get().mWaiting == 0;
    }

    /**
     * Returns one work item for each version that is in no slot, taking customers in turn in fair
     * order, up to the maximum number of loads in flight.
     */
    private List<QueuedWork> worksNeedingLoad(FairQueue<QueuedWork> queue, long nowNanos) {
        List<QueuedWork> works = new ArrayList<>();
        if (!mayLoadMore() || queue.size() == 0) {
            return works;
        }
        List<Iterator<QueuedWork>> flows = new ArrayList<>();
        for (FairQueue.Flow<QueuedWork> flow : queue.waitingFlowsInOrder()) {
            flows.add(flow.waiting().iterator());
        }
        List<AdapterVersion> seen = new ArrayList<>();
        while (!flows.isEmpty() && works.size() < mOptions.maxLoadsInFlight()) {
            flows.removeIf(flow -> !addNextNeedingLoad(flow, nowNanos, seen, works));
        }
        return works;
    }

    /** Adds the flow's next work whose version must be loaded; returns false at the flow's end. */
    private boolean addNextNeedingLoad(
            Iterator<QueuedWork> flow,
            long nowNanos,
            List<AdapterVersion> seen,
            List<QueuedWork> works) {
        while (flow.hasNext()) {
            QueuedWork work = flow.next();
            AdapterVersion adapter = work.mAdapter;
            if (adapter != null
                    && mSlots.get(adapter) == null
                    && !seen.contains(adapter)
                    && mFailures.mayLoad(adapter, nowNanos)) {
                seen.add(adapter);
                works.add(work);
                return true;
            }
        }
        return false;
    }
}
