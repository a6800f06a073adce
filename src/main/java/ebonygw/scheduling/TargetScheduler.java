package ebonygw.scheduling;

import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.scheduling.SchedulerAction.Refuse;
import ebonygw.scheduling.SchedulerAction.Start;
import ebonygw.scheduling.SlotTable.Slot;
import ebonygw.scheduling.SlotTable.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Schedules the work of one target and decides which adapter versions its engine holds.
 *
 * <p>Work waits in a bounded queue that is fair over customers. Work starts only while its exact
 * adapter version is resident; a version is unloaded only while no work runs on it and no work
 * holds a reservation of it. Refused work was never sent to the target. Not thread-safe.
 */
public final class TargetScheduler {
    private final SchedulerOptions mOptions;
    private final FairQueue<QueuedWork> mQueue = new FairQueue<>(QueuedWork.ORDER);
    private final SlotTable mSlots = new SlotTable();
    private final EvictionPolicy mEviction;
    private final LoadFailures mFailures;
    private final LoadPlanner mLoadPlanner;
    private final ConcurrencyLimit mConcurrency;
    private final ServiceTime mServiceTime = new ServiceTime();
    private final ResidencyReconciler mResidency = new ResidencyReconciler();
    private final Map<Attempt, Running> mRunning = new HashMap<>();

    /** Number of queued work items by adapter version. */
    private final Map<AdapterVersion, Integer> mWaitingByAdapter = new HashMap<>();

    private final List<Refuse> mPendingRefusals = new ArrayList<>();
    private long mSequence;
    private long mEngineStartedAtNanos = Long.MIN_VALUE;
    private boolean mReachable = true;

    /**
     * Creates a scheduler with an empty queue, nothing resident and no slots known.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public TargetScheduler(SchedulerOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mEviction = new EvictionPolicy(options);
        mFailures = new LoadFailures(options);
        mLoadPlanner = new LoadPlanner(options, mSlots, mEviction, mFailures);
        mConcurrency = new ConcurrencyLimit(options.initialConcurrency(), options.maxConcurrency());
    }

    /**
     * Removes an attempt from the queue.
     *
     * @return its work if it was queued; empty if it is running, has ended or is unknown
     */
    public Optional<Work> cancel(RequestId id, int attempt) {
        Optional<QueuedWork> queued =
                mQueue.all().stream()
                        .filter(it -> it.mWork.attempt() == attempt && it.mWork.id().equals(id))
                        .findFirst();
        queued.ifPresent(mQueue::remove);
        queued.ifPresent(this::releaseQueued);
        return queued.map(w -> w.mWork);
    }

    /** Returns whether no work is queued or running and no refusal is pending. */
    public boolean isIdle() {
        return mQueue.size() == 0 && mRunning.isEmpty() && mPendingRefusals.isEmpty();
    }

    /**
     * Returns the actions to take now, in order; to be called after each event and each tick.
     *
     * <p>The work of a {@link Start} counts as running from then on. If no slot is free, a load is
     * preceded by an {@link SchedulerAction.Evict} and returned by a later call, once the unload
     * has ended.
     *
     * @param nowNanos the current time
     * @param loadBudget charges one load to the weight store's budget and returns whether the
     *     budget allowed it; called at most once for each load
     */
    public List<SchedulerAction> next(long nowNanos, BooleanSupplier loadBudget) {
        List<SchedulerAction> actions = new ArrayList<>(mPendingRefusals);
        mPendingRefusals.clear();
        refuseExpired(nowNanos, actions);
        if (!mReachable) {
            return actions;
        }
        startRunnable(actions);
        mLoadPlanner.plan(mQueue, nowNanos, loadBudget, actions);
        updateWaitingCounts();
        return actions;
    }

    /**
     * Queues work or refuses it.
     *
     * @param work the attempt
     * @param customerWeight its customer's weight in sharing contended capacity, positive
     * @param deadlineNanos when its response must be complete
     * @param nowNanos the current time
     * @return empty if the work was queued, else a refusal with the verdict {@code NOT_RUN}
     * @throws IllegalArgumentException if {@code customerWeight} is not positive
     */
    public Optional<Refusal> offer(
            Work work, double customerWeight, long deadlineNanos, long nowNanos) {
        if (!(customerWeight > 0)) {
            throw new IllegalArgumentException(
                    "customerWeight must be positive: " + customerWeight);
        }
        work.adapter().ifPresent(a -> mEviction.recordUse(a, nowNanos));
        Optional<Refusal> refusal = admissionRefusal(work, customerWeight, deadlineNanos, nowNanos);
        if (refusal.isPresent()) {
            return refusal;
        }
        if (mQueue.size() >= mOptions.maxQueued() && !makeRoom(work, customerWeight)) {
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "queue of the target full"));
        }
        QueuedWork queued = new QueuedWork(work, mSequence++, nowNanos, deadlineNanos);
        mQueue.add(queued, customerWeight);
        if (queued.mAdapter != null) {
            mWaitingByAdapter.merge(queued.mAdapter, 1, Integer::sum);
        }
        return Optional.empty();
    }

    /**
     * Applies a report of the engine, which may have been made before our last orders.
     *
     * @param slots number of adapter slots
     * @param maxBatch maximum number of requests that it runs together, 0 if it does not report it
     * @param queuedInside requests queued inside the engine
     * @param resident adapter versions loaded
     * @param startedAtNanos when the engine started; a change means that it lost its residency
     * @param nowNanos the current time
     */
    public void onEngineReport(
            int slots,
            int maxBatch,
            int queuedInside,
            List<AdapterVersion> resident,
            long startedAtNanos,
            long nowNanos) {
        mReachable = true;
        if (startedAtNanos != mEngineStartedAtNanos) {
            if (mEngineStartedAtNanos != Long.MIN_VALUE) {
                onRestart();
            }
            mEngineStartedAtNanos = startedAtNanos;
        }
        mSlots.resize(slots);
        mResidency.onReport(mSlots, resident, nowNanos);
        mConcurrency.onReport(maxBatch, queuedInside);
    }

    /** Refuses all queued work as not run, and further work until the next report of the engine. */
    public void onEngineUnreachable() {
        mReachable = false;
        refuseAll(RefusalCode.UNAVAILABLE, "target cannot be reached");
    }

    /**
     * Records the end of started work: complete, failed or cancelled. A second end is ignored.
     *
     * @param work the work
     * @param tokensUsed tokens used, -1 if not known
     * @param latencyNanos time since its start, 0 if it must not count as the target's latency
     * @param nowNanos the current time
     */
    public void onFinished(Work work, long tokensUsed, long latencyNanos, long nowNanos) {
        int running = mRunning.size();
        Running run = mRunning.remove(new Attempt(work.id(), work.attempt()));
        if (run == null) {
            return;
        }
        if (run.mSlot != null) {
            run.mSlot.mRunning--;
        }
        if (tokensUsed < 0) {
            return;
        }
        mQueue.refund(work.customer(), work.charge() - tokensUsed);
        if (latencyNanos > 0) {
            mConcurrency.onResponse(tokensUsed, latencyNanos, running);
            mServiceTime.onResponse(work.charge(), tokensUsed, latencyNanos);
        }
    }

    /**
     * Records the end of a load order; ignored if the version is not loading. After the maximum
     * number of failed loads, the work that waits for the version is refused.
     */
    public void onLoaded(AdapterVersion adapter, boolean succeeded, long nowNanos) {
        Slot slot = mSlots.get(adapter);
        if (slot == null || slot.mState != State.LOADING) {
            return;
        }
        if (succeeded) {
            mEviction.recordLoad(adapter, nowNanos - slot.mSinceNanos);
            mFailures.onLoaded(adapter);
            mSlots.put(adapter, State.RESIDENT, nowNanos);
            return;
        }
        mSlots.remove(adapter);
        boolean givenUp = mFailures.onFailed(adapter, nowNanos);
        for (QueuedWork queued : mQueue.all()) {
            if (!adapter.equals(queued.mAdapter)) {
                continue;
            }
            queued.mHoldsReservation = false;
            if (givenUp) {
                refuseQueued(queued, RefusalCode.LOAD_FAILED, "adapter could not be loaded");
            }
        }
    }

    /** Records the end of an unload order; ignored if the version is not unloading. */
    public void onUnloaded(AdapterVersion adapter, boolean succeeded, long nowNanos) {
        Slot slot = mSlots.get(adapter);
        if (slot == null || slot.mState != State.UNLOADING) {
            return;
        }
        if (succeeded) {
            mSlots.remove(adapter);
        } else {
            mSlots.put(adapter, State.RESIDENT, nowNanos);
        }
    }

    /**
     * Requests that an adapter version be loaded before work for it arrives. It is loaded once no
     * queued work needs a load, and dropped if it already is in a slot or if the load would evict a
     * version that queued work waits for.
     */
    public void prefetch(AdapterVersion adapter, long nowNanos) {
        mLoadPlanner.prefetch(adapter);
    }

    /** Refuses all queued work as not run, as before a stop. */
    public void refuseAll(RefusalCode code, String detail) {
        for (QueuedWork queued : mQueue.all()) {
            refuseQueued(queued, code, detail);
        }
    }

    /** Returns the report for entries. */
    public TargetReport report(long sequence) {
        return new TargetReport(
                sequence,
                mRunning.size(),
                mQueue.size(),
                mConcurrency.limit(),
                mQueue.tokens(),
                mSlots.adaptersIn(State.RESIDENT),
                mSlots.adaptersIn(State.LOADING));
    }

    private Optional<Refusal> admissionRefusal(
            Work work, double weight, long deadlineNanos, long nowNanos) {
        if (!mReachable) {
            return Optional.of(Refusal.notRun(RefusalCode.UNAVAILABLE, "target cannot be reached"));
        }
        if (work.adapter().isPresent()) {
            long until = mFailures.refusedUntil(work.adapter().get(), nowNanos);
            if (until > 0) {
                return Optional.of(
                        new Refusal(
                                RefusalCode.LOAD_FAILED,
                                Verdict.NOT_RUN,
                                "adapter could not be loaded",
                                until - nowNanos));
            }
        }
        double share = weight / mQueue.activeWeight(work.customer(), weight);
        long ahead = mRunning.size() < mConcurrency.limit() ? 0 : mQueue.tokens(work.customer());
        long minNanos =
                mServiceTime.minNanos(
                        work.charge(), ahead, share, Math.max(1, mConcurrency.limit()));
        if (nowNanos + minNanos > deadlineNanos) {
            return Optional.of(Refusal.notRun(RefusalCode.DEADLINE, "deadline cannot be met"));
        }
        return Optional.empty();
    }

    private boolean isRunnable(QueuedWork queued) {
        return queued.mAdapter == null || mSlots.isResident(queued.mAdapter);
    }

    /**
     * Displaces the last work of the customer with the most queued tokens per weight, unless the
     * new work would give its own customer at least as many.
     */
    private boolean makeRoom(Work work, double weight) {
        Optional<FairQueue.Flow<QueuedWork>> largest = mQueue.mostBacklogged();
        if (largest.isEmpty()) {
            return false;
        }
        String customer = work.customer();
        double after = (mQueue.tokens(customer) + work.charge()) / weight;
        FairQueue.Flow<QueuedWork> flow = largest.get();
        if (flow.customer().equals(customer)
                || mQueue.tokens(flow.customer()) / flow.weight() <= after) {
            return false;
        }
        refuseQueued(flow.last(), RefusalCode.OVERLOADED, "queue of the target full");
        return true;
    }

    private void onRestart() {
        for (QueuedWork queued : mQueue.all()) {
            queued.mHoldsReservation = false;
        }
        mSlots.retainLoading();
        mResidency.reset();
        mConcurrency.reset();
        mLoadPlanner.reset();
    }

    private void refuseExpired(long nowNanos, List<SchedulerAction> actions) {
        if (mQueue.size() == 0) {
            return;
        }
        for (QueuedWork queued : mQueue.all()) {
            if (nowNanos >= queued.mDeadlineNanos) {
                refuseQueued(queued, RefusalCode.DEADLINE, "deadline passed in the queue");
            }
        }
        actions.addAll(mPendingRefusals);
        mPendingRefusals.clear();
    }

    private void refuseQueued(QueuedWork queued, RefusalCode code, String detail) {
        mQueue.remove(queued);
        releaseQueued(queued);
        mPendingRefusals.add(new Refuse(queued.mWork, Refusal.notRun(code, detail)));
    }

    /** Releases the waiting count and the reservation of work that left the queue. */
    private void releaseQueued(QueuedWork queued) {
        if (queued.mAdapter == null) {
            return;
        }
        mWaitingByAdapter.computeIfPresent(queued.mAdapter, (a, n) -> n == 1 ? null : n - 1);
        Slot slot = mSlots.get(queued.mAdapter);
        if (queued.mHoldsReservation && slot != null) {
            slot.mReservations--;
        }
        queued.mHoldsReservation = false;
    }

    private void start(QueuedWork queued, List<SchedulerAction> actions) {
        mQueue.start(queued);
        releaseQueued(queued);
        Slot slot = queued.mAdapter == null ? null : mSlots.get(queued.mAdapter);
        if (slot != null) {
            slot.mRunning++;
        }
        Work work = queued.mWork;
        mRunning.put(new Attempt(work.id(), work.attempt()), new Running(slot));
        actions.add(new Start(work));
    }

    private void startRunnable(List<SchedulerAction> actions) {
        while (mQueue.size() > 0 && mRunning.size() < mConcurrency.limit()) {
            Optional<QueuedWork> first = firstRunnable();
            if (first.isEmpty()) {
                return;
            }
            start(first.get(), actions);
        }
    }

    private Optional<QueuedWork> firstRunnable() {
        for (FairQueue.Flow<QueuedWork> flow : mQueue.waitingFlowsInOrder()) {
            for (QueuedWork queued : flow.waiting()) {
                if (isRunnable(queued)) {
                    return Optional.of(queued);
                }
            }
        }
        return Optional.empty();
    }

    /** Copies the number of waiting work items to the slots, for eviction. */
    private void updateWaitingCounts() {
        for (Slot slot : mSlots.slots()) {
            slot.mWaiting = mWaitingByAdapter.getOrDefault(slot.mAdapter, 0);
        }
    }

    private record Attempt(RequestId id, int attempt) {}

    private static final class Running {
        private final Slot mSlot;

        Running(Slot slot) {
            mSlot = slot;
        }
    }
}
