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

/** The real decision classes: a router and a retry policy at each entry, a scheduler a target. */
final class DecisionStrategy implements PlacementStrategy {
    private static final long REPORT_NANOS = 200_000_000L;
    private static final long ENGINE_REPORT_NANOS = 500_000_000L;
    private static final long ENGINE_LAG_NANOS = 300_000_000L;
    private static final long TICK_NANOS = 20_000_000L;
    private static final int RETRY_PERCENT = 10;
    private static final String MODEL = "model";
    private static final String SERVICE = "booking";

    private final Fleet mFleet;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();
    private final Set<Integer> mLeaving = new HashSet<>();
    private final RouteSettings mModelRoute = route("summaries", MODEL, "", true);
    private final RouteSettings mServiceRoute = route("bookings", "", SERVICE, false);
    private int mFirstTarget;

    DecisionStrategy(Fleet fleet) {
        mFleet = fleet;
        for (int region = 0; region < fleet.mScenario.regions().size(); region++) {
            mEntries.add(new Entry(region));
        }
        for (int target = 0; target < fleet.mEngines.size(); target++) {
            mTargets.add(new Target(target));
        }
        tellMembers();
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
            mTargets.get(target).pump();
        } else {
            mLeaving.remove(target);
        }
        tellMembers();
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

    private void tellMembers() {
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

    private void tick() {
        for (int i = 0; i < mTargets.size(); i++) {
            Target target = mTargets.get((mFirstTarget + i) % mTargets.size());
            if (!target.mQueued.isEmpty()) {
                target.pump();
            }
        }
        mFirstTarget++;
        mFleet.mLoop.after(TICK_NANOS, this::tick);
    }

    private record Attempt(RequestId id, int number) {
        static Attempt of(Work work) {
            return new Attempt(work.id(), work.attempt());
        }
    }

    private record Queued(Request request, Work work, Set<NodeId> tried) {}

    /** The decisions of one entry. */
    private final class Entry {
        private final Router mRouter;
        private final RetryPolicy mRetries = new RetryPolicy(RetryOptions.defaults());
        private final int mRegion;

        Entry(int region) {
            mRegion = region;
            mRouter = new Router(RouterOptions.defaults(Fleet.entryId(region), locality(region)));
        }

        void dispatch(Request request, Work work, Set<NodeId> tried) {
            long now = mFleet.mLoop.nowNanos();
            long deadline = request.mArrival.atNanos() + Fleet.TIMEOUT_NANOS;
            Optional<NodeId> chosen =
                    mRouter.choose(work, routeOf(request), adapter(request), tried, deadline, now);
            if (chosen.isEmpty()) {
                mFleet.end(request, false);
                return;
            }
            NodeId id = chosen.get();
            int target = Integer.parseInt(id.name().substring("target-".length()));
            mRouter.onSent(id, work, now);
            if (work.attempt() == 1) {
                mRetries.onFirstAttempt(customer(work), id, now);
            }
            mFleet.sendRun(request, target);
            tried.add(id);
            mFleet.mLoop.after(
                    mFleet.linkNanos(mRegion, target),
                    () -> mTargets.get(target).offer(new Queued(request, work, tried), deadline));
        }

        void onAnswered(Queued queued, int target, long sentNanos) {
            long now = mFleet.mLoop.nowNanos();
            mRouter.onOutcome(
                    Fleet.targetId(target),
                    queued.work(),
                    new Outcome.Completed(now - sentNanos),
                    now);
            mFleet.end(queued.request(), true);
        }

        void onRefused(Queued queued, int target, Refusal refusal) {
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
                mFleet.end(queued.request(), false);
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

    /** The decisions beside one engine or service. */
    private final class Target {
        private final int mTarget;
        private final TargetScheduler mScheduler = new TargetScheduler(SchedulerOptions.defaults());
        private final Map<Attempt, Queued> mQueued = new HashMap<>();
        private long mSequence;
        private boolean mPumping;
        private boolean mPumpAgain;

        Target(int target) {
            mTarget = target;
        }

        void offer(Queued queued, long deadlineNanos) {
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
            mFleet.queue(mTarget, queued.request());
            pump();
        }

        /** Carries out what the scheduler wants; what that sets off at once follows after it. */
        void pump() {
            mPumpAgain = true;
            if (mPumping) {
                return;
            }
            mPumping = true;
            while (mPumpAgain) {
                mPumpAgain = false;
                mScheduler
                        .next(mFleet.mLoop.nowNanos(), mFleet.mStore::charge)
                        .forEach(this::carryOut);
            }
            mPumping = false;
        }

        void report() {
            TargetReport report = mScheduler.report(mSequence++);
            for (Entry entry : mEntries) {
                mFleet.mLoop.after(
                        mFleet.linkNanos(entry.mRegion, mTarget),
                        () ->
                                entry.mRouter.onReport(
                                        Fleet.targetId(mTarget),
                                        1,
                                        report,
                                        mFleet.mLoop.nowNanos()));
            }
            mFleet.mLoop.after(REPORT_NANOS, this::report);
        }

        void reportEngine() {
            FakeEngine engine = mFleet.mEngines.get(mTarget);
            var resident = engine.resident();
            long startedAt = engine.startedAtNanos();
            mFleet.mLoop.after(
                    mFleet.mLoop.nowNanos() == 0 ? 0 : ENGINE_LAG_NANOS,
                    () -> {
                        mScheduler.onEngineReport(
                                engine.slots(),
                                engine.maxBatch(),
                                0,
                                resident,
                                startedAt,
                                mFleet.mLoop.nowNanos());
                        pump();
                    });
            mFleet.mLoop.after(ENGINE_REPORT_NANOS, this::reportEngine);
        }

        private void carryOut(SchedulerAction action) {
            if (action instanceof SchedulerAction.Start start) {
                start(start.work());
            } else if (action instanceof SchedulerAction.Load load) {
                mFleet.load(
                        mTarget,
                        load.adapter(),
                        loaded -> {
                            mScheduler.onLoaded(load.adapter(), loaded, mFleet.mLoop.nowNanos());
                            pump();
                        });
            } else if (action instanceof SchedulerAction.Evict evict) {
                mFleet.unload(
                        mTarget,
                        evict.adapter(),
                        () -> {
                            mScheduler.onUnloaded(evict.adapter(), true, mFleet.mLoop.nowNanos());
                            pump();
                        });
            } else if (action instanceof SchedulerAction.Refuse refuse) {
                Queued queued = mQueued.remove(Attempt.of(refuse.work()));
                mFleet.mMeter.onLeftQueue(mTarget, queued.request());
                refuse(queued, refuse.refusal());
            }
        }

        private void refuse(Queued queued, Refusal refusal) {
            Work work = queued.work();
            mFleet.mChecker.onRefused(work.id(), work.attempt(), refusal);
            mFleet.mLoop.after(
                    mFleet.linkNanos(queued.request().mArrival.region(), mTarget),
                    () ->
                            mEntries.get(queued.request().mArrival.region())
                                    .onRefused(queued, mTarget, refusal));
        }

        private void start(Work work) {
            Queued queued = mQueued.remove(Attempt.of(work));
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
                            answer(queued, started);
                        }
                        pump();
                    });
        }

        private void answer(Queued queued, long startedNanos) {
            Request request = queued.request();
            mFleet.sendAnswer(request, mTarget);
            mFleet.mLoop.after(
                    mFleet.linkNanos(request.mArrival.region(), mTarget),
                    () ->
                            mEntries.get(request.mArrival.region())
                                    .onAnswered(queued, mTarget, startedNanos));
        }
    }
}
