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
 * Decides at one target what runs when, and which adapter versions its engine holds.
 *
 * <p>Work waits in a bounded queue that is fair over customers. Work starts only while its exact
 * adapter version is resident; a version is unloaded only while no work runs on it and none was
 * promised it. Everything that it refuses was never sent to the target. Not thread-safe.
 */
public final class TargetScheduler {
    private final SchedulerOptions mOptions;
    private final FairQueue mQueue = new FairQueue();
    private final SlotTable mSlots = new SlotTable();
    private final EvictionPolicy mEviction;
    private final LoadFailures mFailures;
    private final LoadPlanner mLoads;
    private final ConcurrencyLimit mConcurrency;
    private final ServiceTime mServiceTime = new ServiceTime();
    private final ResidencyView mResidency = new ResidencyView();
    private final Map<Attempt, Running> mRunning = new HashMap<>();
    private final Map<AdapterVersion, Integer> mWaiting = new HashMap<>();
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
        mLoads = new LoadPlanner(options, mSlots, mEviction, mFailures);
        mConcurrency = new ConcurrencyLimit(options.initialConcurrency(), options.maxConcurrency());
    }

    /**
     * Takes work out of the queue.
     *
     * @return the work if it was still queued; empty if it runs, has ended or never came
     */
    public Optional<Work> cancel(RequestId id, int attempt) {
        Optional<QueuedWork> queued = mQueue.remove(id, attempt);
        queued.ifPresent(this::forget);
        return queued.map(w -> w.mWork);
    }

    /** Returns whether neither queued nor running work is left. */
    public boolean isIdle() {
        return mQueue.size() == 0 && mRunning.isEmpty() && mPendingRefusals.isEmpty();
    }

    /**
     * Returns what to do now, in order; call it after each event and at each tick.
     *
     * <p>Started work counts as running from here on. A load that needs a slot first asks for an
     * unload and follows once that is done.
     *
     * @param nowNanos the present time
     * @param loadBudget charges one load to the weight store's budget and returns whether there was
     *     room; asked at most once for each load
     */
    public List<SchedulerAction> next(long nowNanos, BooleanSupplier loadBudget) {
        List<SchedulerAction> actions = new ArrayList<>(mPendingRefusals);
        mPendingRefusals.clear();
        refuseLate(nowNanos, actions);
        if (!mReachable) {
            return actions;
        }
        startRunnable(actions);
        mLoads.plan(mQueue, nowNanos, loadBudget, actions);
        countWaiting();
        return actions;
    }

    /**
     * Offers work to the queue.
     *
     * @param work the attempt
     * @param customerWeight its customer's part of contended capacity, relative to others'
     * @param deadlineNanos when its answer must be whole
     * @param nowNanos the present time
     * @return empty if it was queued, else a refusal that says truthfully that it did not run
     * @throws IllegalArgumentException if {@code customerWeight} is not positive
     */
    public Optional<Refusal> offer(
            Work work, double customerWeight, long deadlineNanos, long nowNanos) {
        if (!(customerWeight > 0)) {
            throw new IllegalArgumentException("customerWeight must be positive");
        }
        work.adapter().ifPresent(a -> mEviction.used(a, nowNanos));
        Optional<Refusal> refusal = refusal(work, customerWeight, deadlineNanos, nowNanos);
        if (refusal.isPresent()) {
            return refusal;
        }
        if (mQueue.size() >= mOptions.maxQueued() && !makeRoom(work, customerWeight)) {
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "queue of the target full"));
        }
        QueuedWork queued = new QueuedWork(work, mSequence++, nowNanos, deadlineNanos);
        mQueue.add(queued, customerWeight);
        if (queued.mAdapter != null) {
            mWaiting.merge(queued.mAdapter, 1, Integer::sum);
        }
        return Optional.empty();
    }

    /**
     * Takes a report of the engine, which may lag behind our orders.
     *
     * @param slots adapter slots
     * @param maxBatch most requests that it runs together, 0 if it does not say
     * @param queuedInside requests that wait inside the engine
     * @param resident adapter versions loaded
     * @param startedAtNanos when the engine started; a change means that residency was lost
     * @param nowNanos the present time
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

    /** Takes note that the engine cannot be reached; all queued work is refused as not run. */
    public void onEngineUnreachable() {
        mReachable = false;
        refuseAll(RefusalCode.UNAVAILABLE, "target cannot be reached");
    }

    /**
     * Takes the end of started work, whole, failed or cancelled; a second end is ignored.
     *
     * @param work the work
     * @param tokensUsed tokens used, -1 if not known
     * @param latencyNanos time from its start, 0 if it says nothing about the target
     * @param nowNanos the present time
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
        mQueue.giveBack(work.customer(), work.charge() - tokensUsed);
        if (latencyNanos > 0) {
            mConcurrency.onAnswer(tokensUsed, latencyNanos, running);
            mServiceTime.onAnswer(work.charge(), tokensUsed, latencyNanos);
        }
    }

    /** Takes the end of a load order. */
    public void onLoaded(AdapterVersion adapter, boolean succeeded, long nowNanos) {
        Slot slot = mSlots.get(adapter);
        if (slot == null || slot.mState != State.LOADING) {
            return;
        }
        if (succeeded) {
            mEviction.loaded(adapter, nowNanos - slot.mSinceNanos);
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
            queued.mPromised = false;
            if (givenUp) {
                refuseQueued(queued, RefusalCode.LOAD_FAILED, "adapter could not be loaded");
            }
        }
    }

    /** Takes the end of an unload order. */
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
     * Asks for an adapter version to be loaded before work comes for it, once nothing that waits
     * needs the budget; ignored if it is in a slot already or less popular than all that are.
     */
    public void prefetch(AdapterVersion adapter, long nowNanos) {
        mLoads.prefetch(adapter);
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
                mSlots.in(State.RESIDENT),
                mSlots.in(State.LOADING));
    }

    private void countWaiting() {
        for (Slot slot : mSlots.slots()) {
            slot.mWaiting = mWaiting.getOrDefault(slot.mAdapter, 0);
        }
    }

    private void forget(QueuedWork queued) {
        if (queued.mAdapter == null) {
            return;
        }
        mWaiting.computeIfPresent(queued.mAdapter, (a, n) -> n == 1 ? null : n - 1);
        Slot slot = mSlots.get(queued.mAdapter);
        if (queued.mPromised && slot != null) {
            slot.mPromised--;
        }
        queued.mPromised = false;
    }

    private boolean isRunnable(QueuedWork queued) {
        return queued.mAdapter == null || mSlots.isResident(queued.mAdapter);
    }

    private boolean makeRoom(Work work, double weight) {
        Optional<FairQueue.Flow> most = mQueue.mostBacklogged();
        if (most.isEmpty()) {
            return false;
        }
        String customer = work.customer();
        double after = (mQueue.tokens(customer) + work.charge()) / weight;
        FairQueue.Flow flow = most.get();
        if (flow.mCustomer.equals(customer)
                || mQueue.tokens(flow.mCustomer) / flow.weight() <= after) {
            return false;
        }
        refuseQueued(flow.last(), RefusalCode.OVERLOADED, "queue of the target full");
        return true;
    }

    private void onRestart() {
        for (QueuedWork queued : mQueue.all()) {
            queued.mPromised = false;
        }
        mSlots.clearLoaded();
        mResidency.reset();
        mConcurrency.reset();
        mLoads.reset();
    }

    private Optional<Refusal> refusal(Work work, double weight, long deadlineNanos, long nowNanos) {
        if (!mReachable) {
            return Optional.of(Refusal.notRun(RefusalCode.UNAVAILABLE, "target cannot be reached"));
        }
        if (work.adapter().isPresent()) {
            long until = mFailures.givenUpUntil(work.adapter().get(), nowNanos);
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
        long least =
                mServiceTime.leastNanos(
                        work.charge(), ahead, share, Math.max(1, mConcurrency.limit()));
        if (nowNanos + least > deadlineNanos) {
            return Optional.of(Refusal.notRun(RefusalCode.DEADLINE, "deadline cannot be met"));
        }
        return Optional.empty();
    }

    private void refuseLate(long nowNanos, List<SchedulerAction> actions) {
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
        forget(queued);
        mPendingRefusals.add(new Refuse(queued.mWork, Refusal.notRun(code, detail)));
    }

    private void start(QueuedWork queued, List<SchedulerAction> actions) {
        mQueue.start(queued);
        forget(queued);
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
        for (FairQueue.Flow flow : mQueue.inOrder()) {
            for (QueuedWork queued : flow.waiting()) {
                if (isRunnable(queued)) {
                    return Optional.of(queued);
                }
            }
        }
        return Optional.empty();
    }

    private record Attempt(RequestId id, int attempt) {}

    private static final class Running {
        private final Slot mSlot;

        Running(Slot slot) {
            mSlot = slot;
        }
    }
}
