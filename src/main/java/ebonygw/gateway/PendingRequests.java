package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.quarantine.PartQuarantine;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the requests of an entry from their arrival to the end of their responses: admits them,
 * dispatches them to targets, retries failed attempts and refuses what cannot be served.
 *
 * <p>Not thread-safe.
 */
final class PendingRequests {
    /**
     * Maximum wait for a replica without open adapter slots, as a multiple of the latency
     * objective.
     */
    private static final int MAX_WAIT_OBJECTIVES = 2;

    /** Retry delay when no target can run a request. */
    private static final long UNAVAILABLE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Maximum number of attempts beyond those of the route that targets reject without running the
     * request.
     */
    private static final int MAX_REJECTIONS = 3;

    private final FleetQuota mQuota;
    private final GatewayAdmission mAdmission;
    private final FleetRetryBudgets mRetries;
    private final GatewayAttempts mAttempts;
    private final PromptGuard mGuard;
    private final TargetTable mTargets;
    private final GatewayOutbox mOut;

    /** The requests that wait for an adapter or for capacity, null without load shedding. */
    private final HeldRequests mHeld;

    private final Map<Long, PendingRequest> mByExchange = new LinkedHashMap<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();

    PendingRequests(
            GatewayOptions options,
            OperatorState operator,
            TargetTable targets,
            FleetQuota quota,
            PromptGuard guard,
            FleetSize fleet,
            GatewayOutbox out) {
        mQuota = quota;
        mGuard = guard;
        mTargets = targets;
        mOut = out;
        mHeld = options.loadShedding() ? new HeldRequests(options.seed(), targets, out) : null;
        mAdmission = new GatewayAdmission(operator, options.maxSettingsAgeNanos());
        mRetries = new FleetRetryBudgets(options, fleet, out);
        mAttempts =
                new GatewayAttempts(
                        operator,
                        targets,
                        fleet,
                        new TargetChooser(ChooserOptions.defaults(options.self().locality())),
                        options.loadShedding(),
                        out);
    }

    /** Returns the number of requests received and the numbers of requests by outcome. */
    Map<String, Long> counts() {
        return mCounts;
    }

    /** Returns the retry budget of each service, for diagnostics. */
    Map<String, Object> retryBudgets() {
        return mRetries.dump();
    }

    /** Returns what is held and predicted, for diagnostics; empty without load shedding. */
    Map<String, Object> overload(long nowNanos) {
        return mHeld == null ? Map.of() : mHeld.dump(nowNanos);
    }

    /** Refuses all requests that are held, before the entry exits. */
    void refuseHeld(long nowNanos) {
        if (mHeld == null) {
            return;
        }
        for (long exchange : mHeld.select(it -> true)) {
            PendingRequest pending = mByExchange.get(exchange);
            refuse(
                    pending,
                    pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.STOPPING,
                    "held at the end of the grace time",
                    GatewayAdmission.STOPPING_RETRY_NANOS,
                    nowNanos);
        }
    }

    /** Sends held requests of plain services in order while their targets have room. */
    void releaseHeld(long nowNanos) {
        if (mHeld == null) {
            return;
        }
        for (String service : List.copyOf(mHeld.services())) {
            PendingRequest first = mByExchange.get(mHeld.first(service));
            while (first != null
                    && first.mRequest.model().isEmpty()
                    && mHeld.hasRoom(service, nowNanos)) {
                dispatch(first, nowNanos);
                PendingRequest next = mByExchange.get(mHeld.first(service));
                first = next == first ? null : next;
            }
        }
    }

    /** Returns the number of requests that have not ended. */
    int size() {
        return mByExchange.size();
    }

    /** Dispatches again all requests that wait for an adapter. */
    void dispatchWaiting(long nowNanos) {
        if (mHeld != null) {
            dispatchHeld(nowNanos);
            return;
        }
        List<PendingRequest> waiting = new ArrayList<>();
        for (PendingRequest pending : mByExchange.values()) {
            if (pending.isWaiting()) {
                waiting.add(pending);
            }
        }
        waiting.forEach(pending -> dispatch(pending, nowNanos));
    }

    /**
     * Applies a changed size of the fleet to the retry budgets, and tells the guard of prompts
     * which responses their targets have survived.
     */
    void onTick(long nowNanos) {
        mRetries.onTick(nowNanos);
        mByExchange.values().forEach(pending -> mGuard.countSurvival(pending, false, nowNanos));
    }

    void onAttemptFailed(GatewayEvent.AttemptFailed failed, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(failed.exchange(), failed.attempt());
        if (pending == null) {
            return;
        }
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (failed.started() && !failed.deadlineExceeded() && target != null) {
            mGuard.onBroken(pending, target, nowNanos);
        }
        mAttempts.endAttempt(pending, failed.withdrawn(), nowNanos);
        if (failed.withdrawn()) {
            count("withdrawn");
            dispatch(pending, nowNanos);
            return;
        }
        pending.mMayHaveRun |= failed.mayHaveRun();
        pending.mPossibleRuns += failed.mayHaveRun() ? 1 : 0;
        if (failed.started() || failed.deadlineExceeded()) {
            RefusalCode code =
                    failed.deadlineExceeded() ? RefusalCode.TIMEOUT : RefusalCode.BROKEN_ANSWER;
            refuse(pending, code, failed.detail(), 0, nowNanos);
            return;
        }
        retry(pending, failed.detail(), failed.mayHaveRun(), nowNanos);
    }

    void onCallerDisconnected(long exchange, long nowNanos) {
        PendingRequest pending = mByExchange.get(exchange);
        if (pending == null) {
            return;
        }
        if (!pending.mTargetId.isEmpty()) {
            mOut.effect(new GatewayEffect.Cancel(exchange));
            pending.mMayHaveRun = true;
            mAttempts.endAttempt(pending, true, nowNanos);
        }
        refund(pending);
        end(pending, "caller_gone", nowNanos);
    }

    /**
     * Admits a new request and dispatches it, or refuses it.
     *
     * @param stopping whether this entry is stopping and accepts no new requests
     */
    void onRequest(long exchange, GatewayRequest request, boolean stopping, long nowNanos) {
        count("asked");
        Either<Refusal, PendingRequest> admission =
                mAdmission.admit(exchange, request, stopping, nowNanos);
        if (admission.isLeft()) {
            refuseNew(exchange, request, admission.getLeft());
            return;
        }
        PendingRequest pending = admission.get();
        mByExchange.put(exchange, pending);
        long retryNanos = mQuota.charge(pending.mCustomer, pending.mCharge, nowNanos);
        if (retryNanos > 0) {
            String detail =
                    "tokens=" + pending.mCharge + " left=" + mQuota.available(pending.mCustomer);
            refuse(pending, RefusalCode.OVER_RATE, detail, retryNanos, nowNanos);
            return;
        }
        pending.mCharged = true;
        mRetries.deposit(pending.mService, nowNanos);
        dispatch(pending, nowNanos);
    }

    void onResponseEnded(GatewayEvent.ResponseEnded ended, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(ended.exchange(), ended.attempt());
        if (pending == null) {
            return;
        }
        pending.mBody = ended.body();
        mGuard.countSurvival(pending, true, nowNanos);
        if (mHeld != null) {
            mHeld.onResponse(pending, nowNanos);
        }
        count("framing_" + ended.body().framing().name().toLowerCase(Locale.ROOT));
        mAttempts.endAttempt(pending, true, nowNanos);
        end(pending, "served", nowNanos);
    }

    void onResponseHeld(GatewayEvent.ResponseHeld held, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(held.exchange(), held.attempt());
        if (pending == null) {
            return;
        }
        mAttempts.onLoad(pending, held.load(), nowNanos);
        if (!held.run()) {
            mAttempts.onRejected(pending, held.status(), nowNanos);
            if (mHeld != null) {
                mHeld.onRejected(pending, nowNanos);
            }
        }
        GatewayTarget target = mTargets.get(pending.mTargetId);
        boolean paused =
                target != null
                        && target.unavailability(nowNanos) == GatewayTarget.Unavailability.PAUSED;
        boolean succeeded = !held.run() || held.status() < 500 || paused;
        mAttempts.endAttempt(pending, succeeded, nowNanos);
        pending.mResponseHeld = true;
        pending.mMayHaveRun |= held.run();
        pending.mPossibleRuns += held.run() ? 1 : 0;
        retry(pending, "status_" + held.status(), held.run(), nowNanos);
    }

    void onResponseStarted(GatewayEvent.ResponseStarted started, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(started.exchange(), started.attempt());
        if (pending == null) {
            return;
        }
        pending.mStarted = true;
        pending.mMayHaveRun = true;
        pending.mStartedNanos = nowNanos;
        mAttempts.onStarted(pending);
        mAttempts.onLoad(pending, started.load(), nowNanos);
    }

    /**
     * Applies a notice of a target.
     *
     * @return whether requests that wait for an adapter have to be dispatched again
     */
    boolean onTargetNoticed(GatewayEvent.TargetNoticed noticed, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(noticed.exchange(), noticed.attempt());
        if (pending == null) {
            return false;
        }
        count(noticed.notice().leaving() ? "target_leaving_noticed" : "target_pause_noticed");
        return mAttempts.onNotice(pending, noticed.notice(), nowNanos);
    }

    private void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    /** Returns the refusal code of a request that is past its deadline. */
    private static RefusalCode deadlineCode(PendingRequest pending) {
        return pending.mMayHaveRun ? RefusalCode.TIMEOUT : RefusalCode.DEADLINE;
    }

    /** Sends a request to a target, makes it wait for its adapter, or refuses it. */
    private void dispatch(PendingRequest pending, long nowNanos) {
        long remaining = pending.mDeadlineNanos - nowNanos;
        if (remaining < FleetRetryBudgets.MIN_REMAINING_NANOS) {
            refuse(pending, deadlineCode(pending), "no time left", 0, nowNanos);
            return;
        }
        Optional<PartQuarantine.Block> block = mGuard.blocked(pending.mRequest, nowNanos);
        if (block.isPresent()) {
            refuse(
                    pending,
                    pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.CRASHING_PROMPT,
                    "part " + block.get().part(),
                    block.get().remainingNanos(),
                    nowNanos);
            return;
        }
        boolean queued =
                mHeld != null
                        && pending.mRequest.model().isEmpty()
                        && !mHeld.isHeld(pending)
                        && mHeld.isQueued(pending.mService);
        if (queued) {
            hold(pending, "queue", nowNanos);
            return;
        }
        Set<String> excluded =
                mHeld == null ? pending.mTriedTargetIds : mHeld.excluded(pending, nowNanos);
        TargetChooser.Choice choice = mAttempts.choose(pending, excluded, nowNanos);
        if (choice == null && mHeld != null && mHeld.mayWait(pending, nowNanos)) {
            hold(pending, "no_capacity", nowNanos);
        } else if (choice == null) {
            Optional<Long> pause = mAttempts.remainingPauseNanos(pending.mService, nowNanos);
            refuse(
                    pending,
                    pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.UNAVAILABLE,
                    (pause.isPresent() ? "all targets pause of " : "no target of ")
                            + pending.mService,
                    minRetryNanos(pause.orElse(0L)),
                    nowNanos);
        } else if (choice.startNanos() > remaining) {
            refuse(
                    pending,
                    pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.OVERLOADED,
                    "would start in ms " + choice.startNanos() / 1_000_000,
                    minRetryNanos(choice.startNanos() - remaining),
                    nowNanos);
        } else if (choice.resident()) {
            long quotaLeft = mQuota.available(pending.mCustomer);
            mAttempts.send(
                    pending, choice.target(), choice.costNanos(), quotaLeft, remaining, nowNanos);
            if (mHeld != null) {
                mHeld.release(pending, nowNanos);
            }
        } else if (mHeld == null && exceedsMaxWait(pending, choice.target(), nowNanos)) {
            refuse(
                    pending,
                    pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.OVERLOADED,
                    "no place for " + pending.mRequest.adapter(),
                    pending.mRoute.objectiveNanos(),
                    nowNanos);
        } else if (mHeld == null) {
            mAttempts.awaitAdapter(pending, choice.target(), nowNanos);
        } else if (!needsSlot(pending, choice.target()) || !shed(pending, nowNanos)) {
            mAttempts.awaitAdapter(pending, choice.target(), nowNanos);
            mHeld.hold(pending, "adapter", nowNanos);
            refuseOverflow(nowNanos);
        }
    }

    /**
     * Refuses what has expired or lost its targets, and dispatches the held requests again in their
     * order.
     */
    private void dispatchHeld(long nowNanos) {
        mHeld.onTick();
        for (long exchange : mHeld.select(it -> isExpired(it, nowNanos) || isLost(it, nowNanos))) {
            dispatch(mByExchange.get(exchange), nowNanos);
        }
        // Requests that can run go first, so that the others do not change the order among them.
        List<Long> runnable = mHeld.inOrder(it -> isOfModel(it) && canRunNow(it, nowNanos));
        runnable.forEach(exchange -> dispatchIfHeld(exchange, nowNanos));
        Set<Long> dispatched = new HashSet<>(runnable);
        mHeld.inOrder(it -> isOfModel(it) && !dispatched.contains(it))
                .forEach(exchange -> dispatchIfHeld(exchange, nowNanos));
        releaseHeld(nowNanos);
        for (String service : List.copyOf(mHeld.services())) {
            releaseAroundFirst(service, nowNanos);
        }
        Map<String, Boolean> backlogged = new LinkedHashMap<>();
        mHeld.services().forEach(service -> backlogged.put(service, false));
        mHeld.select(this::waitsForCapacity)
                .forEach(it -> backlogged.put(mByExchange.get(it).mService, true));
        backlogged.forEach((service, value) -> mHeld.onBacklog(service, value, nowNanos));
    }

    /** Dispatches a held request again unless it has ended or was sent meanwhile. */
    private void dispatchIfHeld(long exchange, long nowNanos) {
        PendingRequest pending = mByExchange.get(exchange);
        if (pending != null && mHeld.isHeld(pending)) {
            dispatch(pending, nowNanos);
        }
    }

    private void end(PendingRequest pending, String outcome, long nowNanos) {
        mByExchange.remove(pending.mExchange);
        mAttempts.endWait(pending);
        if (mHeld != null) {
            mHeld.remove(pending);
        }
        count(outcome);
        long started = pending.mStarted ? pending.mStartedNanos - pending.mArrivedNanos : -1;
        long total = nowNanos - pending.mArrivedNanos;
        mOut.effect(new GatewayEffect.Ended(pending.mRoute.kind(), outcome, started, total));
        LogLine line =
                LogLine.of("request_ended")
                        .with("request", pending.mRequest.id())
                        .with("route", pending.mRoute.name())
                        .with("customer", pending.mCustomer)
                        .with("outcome", outcome)
                        .with("attempts", pending.mAttempts)
                        .with("may_have_run", pending.mMayHaveRun)
                        .with("start_ms", started < 0 ? -1 : started / 1_000_000)
                        .with("ms", total / 1_000_000);
        if (pending.mBody != null) {
            line.with("framing", pending.mBody.framing()).with("bytes", pending.mBody.bytes());
        }
        mOut.log(line);
    }

    /** Returns whether a request has waited too long at a replica without open adapter slots. */
    private static boolean exceedsMaxWait(
            PendingRequest pending, GatewayTarget target, long nowNanos) {
        return pending.isWaiting()
                && target.openAdapterSlots() < 0
                && nowNanos - pending.mArrivedNanos
                        > MAX_WAIT_OBJECTIVES * pending.mRoute.objectiveNanos();
    }

    /** Holds a request for capacity, or refuses it if it would wait too long. */
    private void hold(PendingRequest pending, String why, long nowNanos) {
        boolean room =
                pending.mRequest.model().isEmpty() && mHeld.hasRoom(pending.mService, nowNanos);
        if (room || !shed(pending, nowNanos)) {
            mHeld.hold(pending, why, nowNanos);
            refuseOverflow(nowNanos);
        }
    }

    private boolean canRunNow(long exchange, long nowNanos) {
        return mAttempts.canRunNow(mByExchange.get(exchange), nowNanos);
    }

    private boolean isExpired(long exchange, long nowNanos) {
        return mByExchange.get(exchange).mDeadlineNanos - nowNanos
                < FleetRetryBudgets.MIN_REMAINING_NANOS;
    }

    /** Returns whether no target remains that a held request of a plain service can wait for. */
    private boolean isLost(long exchange, long nowNanos) {
        return !isOfModel(exchange) && !mHeld.mayWait(mByExchange.get(exchange), nowNanos);
    }

    private boolean isOfModel(long exchange) {
        return !mByExchange.get(exchange).mRequest.model().isEmpty();
    }

    /**
     * Returns the time before which a refused request cannot succeed; with load shedding without a
     * constant minimum, as the delay is derived from measurements.
     */
    private long minRetryNanos(long knownNanos) {
        return mHeld == null ? Math.max(UNAVAILABLE_RETRY_NANOS, knownNanos) : knownNanos;
    }

    /** Returns whether a request would need one more adapter slot than a target has open. */
    private static boolean needsSlot(PendingRequest pending, GatewayTarget target) {
        String adapter = pending.mRequest.adapter();
        return target.openAdapterSlots() < 1
                && !target.isLoading(adapter)
                && !target.needs().isAwaited(adapter);
    }

    /** Returns the request of an attempt, null if the attempt is not the current one. */
    private PendingRequest ofCurrentAttempt(long exchange, int attempt) {
        PendingRequest pending = mByExchange.get(exchange);
        return pending != null && pending.mAttempts == attempt && !pending.mTargetId.isEmpty()
                ? pending
                : null;
    }

    /** Refunds the charge of a request unless it may have run. */
    private void refund(PendingRequest pending) {
        if (pending.mCharged && !pending.mMayHaveRun) {
            mQuota.refund(pending.mCustomer, pending.mCharge);
        }
    }

    /** Refuses a request, or relays the failure response that was held back if it may have run. */
    private void refuse(
            PendingRequest pending,
            RefusalCode code,
            String detail,
            long minRetryNanos,
            long nowNanos) {
        refund(pending);
        boolean lacksCapacity = code == RefusalCode.OVERLOADED || code == RefusalCode.UNAVAILABLE;
        long retryNanos =
                mHeld != null && lacksCapacity
                        ? mHeld.retryNanos(pending, minRetryNanos, nowNanos)
                        : minRetryNanos;
        if (pending.mResponseHeld && pending.mMayHaveRun) {
            mOut.effect(new GatewayEffect.RelayHeldResponse(pending.mExchange));
            end(pending, "target_failed", nowNanos);
            return;
        }
        Verdict verdict = pending.mMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        mOut.log(
                LogLine.of("request_refused")
                        .with("request", pending.mRequest.id())
                        .with("code", code)
                        .with("verdict", verdict)
                        .with("detail", detail)
                        .with("retry_ms", retryNanos / 1_000_000));
        mOut.effect(
                new GatewayEffect.Refused(
                        pending.mExchange, new Refusal(code, verdict, detail, retryNanos)));
        end(pending, code.name().toLowerCase(Locale.ROOT), nowNanos);
    }

    /** Refuses held requests as long as a bound on their number or size is exceeded. */
    private void refuseOverflow(long nowNanos) {
        long exchange = mHeld.overflow();
        while (exchange >= 0) {
            PendingRequest pending = mByExchange.get(exchange);
            count("shed_bound");
            RefusalCode code = pending.mMayHaveRun ? RefusalCode.LOST : RefusalCode.OVERLOADED;
            refuse(pending, code, "queue of the entry full", 0, nowNanos);
            exchange = mHeld.overflow();
        }
    }

    /** Refuses a request that was not admitted. */
    private void refuseNew(long exchange, GatewayRequest request, Refusal refusal) {
        count(refusal.code().name().toLowerCase(Locale.ROOT));
        mOut.log(
                LogLine.of("request_refused")
                        .with("request", request.id())
                        .with("code", refusal.code())
                        .with("detail", refusal.detail())
                        .with("host", request.host())
                        .with("path", request.path()));
        mOut.effect(new GatewayEffect.Refused(exchange, refusal));
    }

    /**
     * Sends held requests of a plain service whose first request has tried all targets with room.
     */
    private void releaseAroundFirst(String service, long nowNanos) {
        long first = mHeld.first(service);
        if (first < 0 || isOfModel(first) || !mHeld.hasRoom(service, nowNanos)) {
            return;
        }
        for (long exchange : mHeld.inOrder(it -> !isOfModel(it))) {
            PendingRequest pending = mByExchange.get(exchange);
            if (pending != null
                    && pending.mService.equals(service)
                    && mHeld.hasRoom(service, nowNanos)) {
                dispatchIfHeld(exchange, nowNanos);
            }
        }
    }

    /**
     * Refuses a request whose predicted wait is too long, unless it was sent before; returns
     * whether it did. A refusal after an attempt costs the caller more than one on arrival.
     */
    private boolean shed(PendingRequest pending, long nowNanos) {
        long wait = pending.mAttempts > 0 ? 0 : mHeld.excessiveWaitNanos(pending, nowNanos);
        if (wait == 0) {
            return false;
        }
        count("shed_predicted");
        refuse(
                pending,
                RefusalCode.OVERLOADED,
                "would wait ms " + wait / 1_000_000,
                wait,
                nowNanos);
        return true;
    }

    /** Returns whether a held request waits for room at a target or for an adapter slot. */
    private boolean waitsForCapacity(long exchange) {
        PendingRequest pending = mByExchange.get(exchange);
        GatewayTarget target = mTargets.get(pending.mAwaitedTargetId);
        return pending.mRequest.model().isEmpty()
                || target != null && target.openAdapterSlots() < 0;
    }

    /**
     * Dispatches a request again after a failed attempt if the verdict, the route and the retry
     * budget allow it; refuses it otherwise.
     */
    private void retry(PendingRequest pending, String why, boolean mayHaveRun, long nowNanos) {
        boolean repeatable = !pending.mMayHaveRun || pending.isRepeatable();
        boolean attemptsLeft =
                pending.mPossibleRuns < pending.mRoute.maxAttempts()
                        && pending.mAttempts < pending.mRoute.maxAttempts() + MAX_REJECTIONS;
        boolean allowed =
                repeatable && attemptsLeft && mRetries.tryWithdraw(pending.mService, nowNanos);
        mOut.log(
                LogLine.of("attempt_ended")
                        .with("request", pending.mRequest.id())
                        .with("attempt", pending.mAttempts)
                        .with("why", why)
                        .with("may_have_run", mayHaveRun)
                        .with("repeatable", repeatable)
                        .with("attempts_left", attemptsLeft)
                        .with("retry", allowed));
        if (repeatable && attemptsLeft) {
            count(allowed ? "retry_allowed" : "retry_over_budget");
        }
        if (allowed) {
            dispatch(pending, nowNanos);
        } else if (pending.mMayHaveRun) {
            refuse(pending, RefusalCode.LOST, why, 0, nowNanos);
        } else {
            refuse(pending, RefusalCode.UNAVAILABLE, why, minRetryNanos(0), nowNanos);
        }
    }
}
