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
 * Orders loads: for waiting work in the queue's fair order, then for prefetches.
 *
 * <p>A version is loaded once whatever the number of works that wait for it. The work for which a
 * load is ordered is promised the slot. Not thread-safe.
 */
final class LoadPlanner {
    private static final int MAX_PREFETCHES = 64;

    private final SchedulerOptions mOptions;
    private final SlotTable mSlots;
    private final EvictionPolicy mEviction;
    private final LoadFailures mFailures;
    private final Deque<AdapterVersion> mPrefetches = new ArrayDeque<>();
    private int mGranted;
    private int mAwaitingRoom;

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

    /** Adds the loads and evictions that are due now. */
    void plan(
            FairQueue queue,
            long nowNanos,
            BooleanSupplier loadBudget,
            List<SchedulerAction> actions) {
        mAwaitingRoom = Math.min(mGranted, mSlots.in(State.UNLOADING).size());
        for (QueuedWork wanted : wanted(queue, nowNanos)) {
            if (!mayLoadMore() || !load(wanted.mAdapter, nowNanos, loadBudget, actions)) {
                return;
            }
            Slot slot = mSlots.get(wanted.mAdapter);
            if (slot != null) {
                slot.mPromised++;
                wanted.mPromised = true;
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
        mGranted = 0;
    }

    private boolean evict(long nowNanos, List<SchedulerAction> actions) {
        Optional<Slot> victim = mEviction.victim(mSlots.slots(), nowNanos);
        if (victim.isEmpty()) {
            return false;
        }
        mSlots.put(victim.get().mAdapter, State.UNLOADING, nowNanos);
        actions.add(new Evict(victim.get().mAdapter));
        return true;
    }

    /** Charges the budget, or uses a charge whose load was not ordered yet. */
    private boolean charge(int reserved, BooleanSupplier loadBudget) {
        if (mGranted > reserved) {
            mGranted--;
            return true;
        }
        return loadBudget.getAsBoolean();
    }

    /** Orders a load or makes room for it; returns whether further loads may be looked at. */
    private boolean load(
            AdapterVersion adapter,
            long nowNanos,
            BooleanSupplier loadBudget,
            List<SchedulerAction> actions) {
        if (mSlots.free() > 0) {
            if (!charge(0, loadBudget)) {
                return false;
            }
            mSlots.put(adapter, State.LOADING, nowNanos);
            actions.add(new Load(adapter));
            return true;
        }
        if (mAwaitingRoom > 0) {
            mAwaitingRoom--;
            return true;
        }
        int unloading = mSlots.in(State.UNLOADING).size();
        if (mEviction.victim(mSlots.slots(), nowNanos).isEmpty()
                || !charge(unloading, loadBudget)) {
            return false;
        }
        mGranted++;
        return evict(nowNanos, actions);
    }

    private boolean mayLoadMore() {
        int unloading = mSlots.in(State.UNLOADING).size();
        int busy = mSlots.in(State.LOADING).size() + unloading;
        return mSlots.capacity() > 0 && busy < mOptions.maxLoadsInFlight();
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
            if (!load(adapter, nowNanos, loadBudget, actions)) {
                return;
            }
            if (mSlots.get(adapter) != null) {
                prefetches.remove();
            }
        }
    }

    private boolean isWorthPrefetching(AdapterVersion adapter, long nowNanos) {
        if (mSlots.free() > 0) {
            return true;
        }
        Optional<Slot> victim = mEviction.victim(mSlots.slots(), nowNanos);
        return victim.isPresent() && victim.get().mWaiting == 0;
    }

    /** Returns one work for each absent version, in turn over customers in fair order. */
    private List<QueuedWork> wanted(FairQueue queue, long nowNanos) {
        List<QueuedWork> wanted = new ArrayList<>();
        if (!mayLoadMore() || queue.size() == 0) {
            return wanted;
        }
        List<Iterator<QueuedWork>> flows = new ArrayList<>();
        for (FairQueue.Flow flow : queue.inOrder()) {
            flows.add(flow.waiting().iterator());
        }
        List<AdapterVersion> seen = new ArrayList<>();
        while (!flows.isEmpty() && wanted.size() < mOptions.maxLoadsInFlight()) {
            flows.removeIf(flow -> !addNextAbsent(flow, nowNanos, seen, wanted));
        }
        return wanted;
    }

    private boolean addNextAbsent(
            Iterator<QueuedWork> flow,
            long nowNanos,
            List<AdapterVersion> seen,
            List<QueuedWork> wanted) {
        while (flow.hasNext()) {
            QueuedWork work = flow.next();
            AdapterVersion adapter = work.mAdapter;
            if (adapter != null
                    && mSlots.get(adapter) == null
                    && !seen.contains(adapter)
                    && mFailures.mayLoad(adapter, nowNanos)) {
                seen.add(adapter);
                wanted.add(work);
                return true;
            }
        }
        return false;
    }
}
