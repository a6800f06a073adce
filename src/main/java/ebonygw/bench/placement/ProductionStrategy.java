package ebonygw.bench.placement;

import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.retry.RetryDecision;
import ebonygw.retry.RetryOptions;
import ebonygw.retry.RetryPolicy;
import ebonygw.routing.Outcome;
import ebonygw.routing.Router;
import ebonygw.routing.RouterOptions;
import ebonygw.scheduling.SchedulerAction;
import ebonygw.scheduling.SchedulerOptions;
import ebonygw.scheduling.TargetScheduler;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.RouteSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The production placement: a {@link Router} and a {@link RetryPolicy} at each entry, and a {@link
 * TargetScheduler} at each target, connected by the simulated network.
 */
final class ProductionStrategy implements PlacementStrategy {
    /** Interval of the reports from targets to entries. */
    private static final long REPORT_INTERVAL_NANOS = 200_000_000L;

    /** Interval of the reports from engines to their schedulers. */
    private static final long ENGINE_REPORT_INTERVAL_NANOS = 500_000_000L;

    /** Age of an engine's report when the scheduler receives it, except the first. */
    private static final long ENGINE_REPORT_DELAY_NANOS = 300_000_000L;

    /** Interval at which schedulers with queued work run even if nothing happens. */
    private static final long TICK_INTERVAL_NANOS = 20_000_000L;

    private static final int RETRY_PERCENT = 10;
    private static final String MODEL = "model";
    private static final String SERVICE = "booking";

    private final Fleet mFleet;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();
    private final Set<Integer> mLeaving = new HashSet<>();
    private final RouteSettings mModelRoute = route("summaries", MODEL, "", true);
    private final RouteSettings mServiceRoute = route("bookings", "", SERVICE, false);

    /** Number of ticks so far; modulo the number of targets, the target that the next starts at. */
    private int mTickCount;

    ProductionStrategy(Fleet fleet) {
        mFleet = fleet;
        for (int region = 0; region < fleet.mScenario.regions().size(); region++) {
            mEntries.add(new Entry(region));
        }
        for (int target = 0; target < fleet.mEngines.size(); target++) {
            mTargets.add(new Target(target));
        }
        publishMembers();
    }

    @Override
    public void onArrival(Request request) {
        mEntries.get(request.mArrival.region()).dispatch(request, request.mWork, new HashSet<>());
    }

    @Override
    public void onLeaving(int target, boolean leaving) {
        if (leaving) {
            mLeaving.add(target);
            mTargets.get(target).mScheduler.refuseAll(RefusalCode.STOPPING, "stopping");
            mTargets.get(target).runScheduler();
        } else {
            mLeaving.remove(target);
        }
        publishMembers();
    }

    @Override
    public void start() {
        mTargets.forEach(Target::reportEngine);
        mTargets.forEach(Target::report);
        tick();
    }

    private static RouteSettings route(
            String name, String model, String service, boolean idempotent) {
        return new RouteSettings(
                name, "", false, model, service, idempotent, Fleet.TIMEOUT_NANOS, 0, 1, Set.of());
    }

    private Locality locality(int region) {
        return new Locality(mFleet.mScenario.regions().get(region), "a");
    }

    /** Sends the present members and their states to all routers. */
    private void publishMembers() {
        List<Member> members = new ArrayList<>();
        for (int region = 0; region < mEntries.size(); region++) {
            members.add(member(Fleet.entryId(region), Role.ENTRY, region, "", MemberState.LIVE));
        }
        for (int target = 0; target < mTargets.size(); target++) {
            MemberState state = mLeaving.contains(target) ? MemberState.LEAVING : MemberState.LIVE;
            String serves = mFleet.isService(target) ? SERVICE : MODEL;
            int region = mFleet.regionOf(target);
            members.add(member(Fleet.targetId(target), Role.TARGET, region, serves, state));
        }
        mEntries.forEach(e -> e.mRouter.onMembers(members, mFleet.mLoop.nowNanos()));
    }

    private Member member(NodeId id, Role role, int region, String serves, MemberState state) {
        return new Member(id, 1, role, state, locality(region), "", serves);
    }

    /**
     * Runs the schedulers of all targets with queued work, which refuses work past its deadline and
     * starts loads that the store did not allow before. Each tick starts at another target, so that
     * targets get the tokens of the store in turn.
     */
    private void tick() {
        for (int i = 0; i < mTargets.size(); i++) {
            Target target = mTargets.get((mTickCount + i) % mTargets.size());
            if (!target.mQueued.isEmpty()) {
                target.runScheduler();
            }
        }
        mTickCount++;
        mFleet.mLoop.scheduleAfter(TICK_INTERVAL_NANOS, this::tick);
    }

    private record Attempt(RequestId id, int number) {
        static Attempt of(Work work) {
            return new Attempt(work.id(), work.attempt());
        }
    }

    /**
     * An attempt that was sent to a target.
     *
     * @param tried targets that the request was sent to so far; shared by its attempts
     */
    private record QueuedAttempt(Request request, Work work, Set<NodeId> tried) {}

    /** The router and the retry policy of one entry. */
    private final class Entry {
        private final Router mRouter;
        private final RetryPolicy mRetries = new RetryPolicy(RetryOptions.defaults());
        private final int mRegion;

        Entry(int region) {
            mRegion = region;
            mRouter = new Router(RouterOptions.defaults(Fleet.entryId(region), locality(region)));
        }

        /**
         * Chooses a target for an attempt and sends it there, or ends the request as failed if
         * there is none.
         *
         * @param tried targets that the request was sent to so far; the chosen one is added
         */
        void dispatch(Request request, Work work, Set<NodeId> tried) {
            long now = mFleet.mLoop.nowNanos();
            long deadline = request.mArrival.atNanos() + Fleet.TIMEOUT_NANOS;
            Optional<NodeId> chosen =
                    mRouter.choose(work, routeOf(request), adapter(request), tried, deadline, now);
            if (chosen.isEmpty()) {
                mFleet.complete(request, false);
                return;
            }
            NodeId id = chosen.get();
            int target = Integer.parseInt(id.name().substring("target-".length()));
            mRouter.onSent(id, work, now);
            if (work.attempt() == 1) {
                mRetries.onFirstAttempt(customer(work), id, now);
            }
            mFleet.recordRequestSent(request, target);
            tried.add(id);
            mFleet.mLoop.scheduleAfter(
                    mFleet.networkLatencyNanos(mRegion, target),
                    () ->
                            mTargets.get(target)
                                    .offer(new QueuedAttempt(request, work, tried), deadline));
        }

        void onResponse(QueuedAttempt queued, int target, long sentNanos) {
            long now = mFleet.mLoop.nowNanos();
            mRouter.onOutcome(
                    Fleet.targetId(target),
                    queued.work(),
                    new Outcome.Completed(now - sentNanos),
                    now);
            mFleet.complete(queued.request(), true);
        }

        /** Retries a refused or failed attempt on another target, or ends the request. */
        void onRefused(QueuedAttempt queued, int target, Refusal refusal) {
            long now = mFleet.mLoop.nowNanos();
            NodeId id = Fleet.targetId(target);
            Work work = queued.work();
            Outcome outcome =
                    refusal.verdict() == Verdict.NOT_RUN
                            ? new Outcome.Refused(refusal)
                            : new Outcome.Failed();
            mRouter.onOutcome(id, work, outcome, now);
            long remaining = queued.request().mArrival.atNanos() + Fleet.TIMEOUT_NANOS - now;
            RetryDecision decision =
                    mRetries.decide(work, refusal, false, customer(work), id, remaining, now);
            if (decision instanceof RetryDecision.RetryOnOtherTarget) {
                dispatch(queued.request(), work.withAttempt(work.attempt() + 1), queued.tried());
            } else {
                mFleet.complete(queued.request(), false);
            }
        }

        private AdapterSettings adapter(Request request) {
            return request.mAdapter == null
                    ? null
                    : new AdapterSettings(request.mAdapter.adapter(), "", MODEL, Set.of("1"), "1");
        }

        private CustomerSettings customer(Work work) {
            return new CustomerSettings(work.customer(), 0, 0, 1, RETRY_PERCENT);
        }

        private RouteSettings routeOf(Request request) {
            return request.mAdapter == null ? mServiceRoute : mModelRoute;
        }
    }

    /** The scheduler of one target. */
    private final class Target {
        private final int mTarget;
        private final TargetScheduler mScheduler = new TargetScheduler(SchedulerOptions.defaults());
        private final Map<Attempt, QueuedAttempt> mQueued = new HashMap<>();
        private long mSequence;
        private boolean mSchedulerRunning;
        private boolean mRunSchedulerAgain;

        Target(int target) {
            mTarget = target;
        }

        /** Queues an attempt that has arrived at the target, or refuses it. */
        void offer(QueuedAttempt queued, long deadlineNanos) {
            long now = mFleet.mLoop.nowNanos();
            if (mLeaving.contains(mTarget)) {
                refuse(queued, Refusal.notRun(RefusalCode.STOPPING, "stopping"));
                return;
            }
            int customer = queued.request().mArrival.customer();
            double weight = mFleet.mScenario.customerWeights().get(customer);
            Optional<Refusal> refusal = mScheduler.offer(queued.work(), weight, deadlineNanos, now);
            if (refusal.isPresent()) {
                refuse(queued, refusal.get());
                return;
            }
            mQueued.put(Attempt.of(queued.work()), queued);
            mFleet.recordQueued(mTarget, queued.request());
            runScheduler();
        }

        /** Sends a report to all entries, and again after each interval. */
        void report() {
            TargetReport report = mScheduler.report(mSequence++);
            for (Entry entry : mEntries) {
                mFleet.mLoop.scheduleAfter(
                        mFleet.networkLatencyNanos(entry.mRegion, mTarget),
                        () ->
                                entry.mRouter.onReport(
                                        Fleet.targetId(mTarget),
                                        1,
                                        report,
                                        mFleet.mLoop.nowNanos()));
            }
            mFleet.mLoop.scheduleAfter(REPORT_INTERVAL_NANOS, this::report);
        }

        /**
         * Reports the state of the engine to the scheduler, and again after each interval. Reports
         * reach the scheduler with a delay, except the first.
         */
        void reportEngine() {
            FakeEngine engine = mFleet.mEngines.get(mTarget);
            var resident = engine.resident();
            long startedAt = engine.startedAtNanos();
            mFleet.mLoop.scheduleAfter(
                    mFleet.mLoop.nowNanos() == 0 ? 0 : ENGINE_REPORT_DELAY_NANOS,
                    () -> {
                        mScheduler.onEngineReport(
                                engine.slots(),
                                engine.maxBatch(),
                                0,
                                resident,
                                startedAt,
                                mFleet.mLoop.nowNanos());
                        runScheduler();
                    });
            mFleet.mLoop.scheduleAfter(ENGINE_REPORT_INTERVAL_NANOS, this::reportEngine);
        }

        /**
         * Executes the actions that the scheduler decides on. If an action calls this method again,
         * the scheduler runs once more after the present actions, not inside them.
         */
        void runScheduler() {
            mRunSchedulerAgain = true;
            if (mSchedulerRunning) {
                return;
            }
            mSchedulerRunning = true;
            while (mRunSchedulerAgain) {
                mRunSchedulerAgain = false;
                mScheduler
                        .next(mFleet.mLoop.nowNanos(), mFleet.mStore::tryAcquire)
                        .forEach(this::execute);
            }
            mSchedulerRunning = false;
        }

        private void execute(SchedulerAction action) {
            if (action instanceof SchedulerAction.Start start) {
                start(start.work());
            } else if (action instanceof SchedulerAction.Load load) {
                mFleet.load(
                        mTarget,
                        load.adapter(),
                        loaded -> {
                            mScheduler.onLoaded(load.adapter(), loaded, mFleet.mLoop.nowNanos());
                            runScheduler();
                        });
            } else if (action instanceof SchedulerAction.Evict evict) {
                mFleet.unload(
                        mTarget,
                        evict.adapter(),
                        () -> {
                            mScheduler.onUnloaded(evict.adapter(), true, mFleet.mLoop.nowNanos());
                            runScheduler();
                        });
            } else if (action instanceof SchedulerAction.Refuse refuse) {
                QueuedAttempt queued = mQueued.remove(Attempt.of(refuse.work()));
                mFleet.mMeter.onLeftQueue(mTarget, queued.request());
                refuse(queued, refuse.refusal());
            }
        }

        private void refuse(QueuedAttempt queued, Refusal refusal) {
            Work work = queued.work();
            mFleet.mChecker.onRefused(work.id(), work.attempt(), refusal);
            mFleet.mLoop.scheduleAfter(
                    mFleet.networkLatencyNanos(queued.request().mArrival.region(), mTarget),
                    () ->
                            mEntries.get(queued.request().mArrival.region())
                                    .onRefused(queued, mTarget, refusal));
        }

        private void start(Work work) {
            QueuedAttempt queued = mQueued.remove(Attempt.of(work));
            long started = mFleet.mLoop.nowNanos();
            mFleet.run(
                    mTarget,
                    queued.request(),
                    work,
                    tokens -> {
                        long now = mFleet.mLoop.nowNanos();
                        mScheduler.onFinished(work, tokens, now - started, now);
                        if (tokens < 0) {
                            refuse(queued, Refusal.mayHaveRun(RefusalCode.LOST, "restarted"));
                        } else {
                            sendResponse(queued, started);
                        }
                        runScheduler();
                    });
        }

        private void sendResponse(QueuedAttempt queued, long startedNanos) {
            Request request = queued.request();
            mFleet.recordResponseSent(request, mTarget);
            mFleet.mLoop.scheduleAfter(
                    mFleet.networkLatencyNanos(request.mArrival.region(), mTarget),
                    () ->
                            mEntries.get(request.mArrival.region())
                                    .onResponse(queued, mTarget, startedNanos));
        }
    }
}
