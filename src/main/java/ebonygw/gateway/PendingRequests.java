package ebonygw.gateway;

import ebonygw.eligibility.AllowedRegions;
import ebonygw.eligibility.Ineligibility.Reason;
import ebonygw.eligibility.RegionScope;
import ebonygw.log.LogLine;
import ebonygw.quarantine.PartQuarantine;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.targetlimit.NamedLimits;
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

    private final CustomerQuota mQuota;
    private final GatewayAdmission mAdmission;
    private final FleetRetryBudgets mRetries;
    private final GatewayAttempts mAttempts;
    private final PromptGuard mGuard;
    private final TargetTable mTargets;
    private final GatewayOutbox mOut;
    private final Map<Long, PendingRequest> mByExchange = new LinkedHashMap<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();

    PendingRequests(
            GatewayOptions options,
            OperatorState operator,
            TargetTable targets,
            CustomerQuota quota,
            PromptGuard guard,
            FleetSize fleet,
            NamedLimits limits,
            GatewayOutbox out) {
        mQuota = quota;
        mGuard = guard;
        mTargets = targets;
        mOut = out;
        mAdmission = new GatewayAdmission(operator, options.maxSettingsAgeNanos());
        mRetries = new FleetRetryBudgets(options, fleet, out);
        ChooserOptions costs = ChooserOptions.defaults(options.self().locality());
        long drawSeed = options.seed() ^ options.self().id().name().hashCode();
        TargetSpeeds speeds = new TargetSpeeds(costs, targets, drawSeed, out);
        Optional<SpilloverCosts> spillover =
                options.features()
                        .spillover()
                        .map(it -> new SpilloverCosts(it, costs.locality(), fleet, out));
        TargetChooser chooser = new TargetChooser(costs, Optional.of(speeds), spillover);
        mAttempts =
                new GatewayAttempts(
                        operator, targets, fleet, chooser, speeds, spillover, limits, out);
    }

    /** Returns the number of requests received and the numbers of requests by outcome. */
    Map<String, Long> counts() {
        return mCounts;
    }

    /** Returns the retry budget of each service, for diagnostics. */
    Map<String, Object> retryBudgets() {
        return mRetries.dump();
    }

    /** Returns what is known about the speed of each service's targets, for diagnostics. */
    Map<String, Object> speeds(long nowNanos) {
        return mAttempts.speeds().dump(nowNanos);
    }

    /** Returns what leaves for other data centres, for diagnostics. */
    Map<String, Object> spillover() {
        return mAttempts.spillover();
    }

    /** Returns whether any target has reported how long work takes. */
    boolean reportsSpeeds() {
        return mAttempts.speeds().isReported();
    }

    /** Returns the number of requests that have not ended. */
    int size() {
        return mByExchange.size();
    }

    /** Dispatches again all requests that wait for an adapter. */
    void dispatchWaiting(long nowNanos) {
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
        // One that waited too long for a connection has failed to connect.
        boolean expired = nowNanos - pending.mSentNanos >= GatewayAttempts.maxConnectNanos(pending);
        boolean withdrawn = failed.withdrawn() && !expired;
        if (failed.withdrawn() || !failed.mayHaveRun()) {
            mAttempts.returnLimitToken(pending, false, nowNanos);
        }
        if (withdrawn) {
            mAttempts.onWithdrawn(pending, nowNanos);
        }
        if (failed.withdrawn()) {
            refundRetry(pending, nowNanos);
        }
        mAttempts.endAttempt(pending, withdrawn, nowNanos);
        if (withdrawn) {
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
        long retryNanos =
                mQuota.charge(pending.mCustomer, pending.mCharge, pending.mPriority, nowNanos);
        if (retryNanos > 0) {
            String detail =
                    "tokens=" + pending.mCharge + " " + mQuota.explain(pending.mCustomer, nowNanos);
            refuse(pending, RefusalCode.OVER_RATE, detail, retryNanos, nowNanos);
            return;
        }
        pending.mCharged = true;
        mRetries.deposit(pending.mService, nowNanos);
        dispatch(pending, nowNanos);
    }

    /** Withdraws the attempts at a data centre that is evacuated which were not sent yet. */
    void onEvacuated(String dataCenter) {
        Set<String> addresses = new HashSet<>();
        for (PendingRequest pending : mByExchange.values()) {
            if (pending.isUnanswered() && pending.mTargetLocality.dataCenter().equals(dataCenter)) {
                addresses.add(pending.mTargetAddress);
            }
        }
        mAttempts.withdrawUnsent(addresses);
    }

    /** Counts input of operators that is wrong. */
    void onInvalidInput(String what, int number) {
        mCounts.merge(what, (long) number, Long::sum);
    }

    /**
     * Applies the allowed regions of a newer configuration to all requests, and withdraws attempts
     * which were not sent yet to targets that it excludes. A request whose route or customer the
     * configuration lacks keeps the list that applied last.
     *
     * @return whether the allowed regions of any request have changed
     */
    boolean onSettings(GatewaySettings settings, long nowNanos) {
        boolean changed = false;
        Set<String> excluded = new HashSet<>();
        for (PendingRequest pending : mByExchange.values()) {
            RegionScope before = pending.mRegions;
            AllowedRegions route =
                    settings.routeNamed(pending.mRoute.name())
                            .map(GatewayRoute::allowedRegions)
                            .orElse(before.route());
            AllowedRegions customer =
                    settings.customerNamed(pending.mCustomer)
                            .map(GatewayCustomer::allowedRegions)
                            .orElse(before.customer());
            pending.mRegions = before.updated(route, customer, nowNanos);
            if (pending.mRegions != before) {
                changed = true;
                if (pending.isUnanswered()
                        && !pending.mRegions.allows(pending.mTargetLocality.region())) {
                    excluded.add(pending.mTargetAddress);
                }
            }
        }
        mAttempts.withdrawUnsent(excluded);
        return changed;
    }

    void onResponseEnded(GatewayEvent.ResponseEnded ended, long nowNanos) {
        PendingRequest pending = ofCurrentAttempt(ended.exchange(), ended.attempt());
        if (pending == null) {
            return;
        }
        pending.mBody = ended.body();
        mGuard.countSurvival(pending, true, nowNanos);
        mAttempts.learnEnd(pending, ended.body().bytes());
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
        mAttempts.onLimit(pending, held.limit(), false, nowNanos);
        if (!held.run()) {
            mAttempts.onRejected(pending, held.status(), nowNanos);
        }
        GatewayTarget target = mTargets.get(pending.mTargetId);
        boolean paused = target != null && target.isPaused(nowNanos);
        boolean succeeded = !held.run() || held.status() < 500 || paused;
        mAttempts.endAttempt(pending, succeeded, nowNanos);
        pending.mResponseHeld = held.run() && !Verdict.isNotRunStatus(held.status());
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
        mAttempts.onLimit(pending, started.limit(), true, nowNanos);
        mAttempts.learnStart(pending, started.status(), nowNanos);
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

    /** Handles that a target has been registered or has another incarnation. */
    void onTargetStarted(GatewayTarget target, long nowNanos) {
        mAttempts.speeds().onTargetStarted(target, nowNanos);
    }

    private void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    /**
     * Charges the next attempt to the retry budget if it is a retry; returns whether it may be
     * sent. One that waits is charged only when it is sent, in the window in which it arrives.
     */
    private boolean chargeRetry(PendingRequest pending, long nowNanos) {
        if (pending.mRetryDue) {
            pending.mRetryCharged = mRetries.tryWithdraw(pending.mService, nowNanos);
            pending.mRetryDue = !pending.mRetryCharged;
        }
        return !pending.mRetryDue;
    }

    /** Sends a request to a target, makes it wait for its adapter, or refuses it. */
    private void dispatch(PendingRequest pending, long nowNanos) {
        long remaining = pending.mDeadlineNanos - nowNanos;
        if (remaining < FleetRetryBudgets.MIN_REMAINING_NANOS) {
            refuse(pending, RefusalCode.DEADLINE, "no time left", 0, nowNanos);
            return;
        }
        Optional<PartQuarantine.Block> block = mGuard.blocked(pending.mRequest, nowNanos);
        if (block.isPresent()) {
            refuse(
                    pending,
                    RefusalCode.CRASHING_PROMPT,
                    "part " + block.get().parts(),
                    block.get().remainingNanos(),
                    nowNanos);
            return;
        }
        TargetChooser.Choice choice = mAttempts.choose(pending, nowNanos);
        if (choice == null) {
            refuseWithoutTarget(pending, nowNanos);
        } else if (choice.startNanos() > remaining) {
            refuse(
                    pending,
                    RefusalCode.OVERLOADED,
                    "would start in ms " + choice.startNanos() / 1_000_000,
                    Math.max(UNAVAILABLE_RETRY_NANOS, choice.startNanos() - remaining),
                    nowNanos);
        } else if (choice.resident() && !chargeRetry(pending, nowNanos)) {
            count("retry_over_budget");
            refuse(
                    pending,
                    RefusalCode.UNAVAILABLE,
                    "no retry left for " + pending.mService,
                    UNAVAILABLE_RETRY_NANOS,
                    nowNanos);
        } else if (choice.resident()) {
            long quotaLeft = mQuota.available(pending.mCustomer);
            mAttempts.send(
                    pending, choice.target(), choice.costNanos(), quotaLeft, remaining, nowNanos);
        } else if (exceedsMaxWait(pending, choice.target(), nowNanos)) {
            refuse(
                    pending,
                    RefusalCode.OVERLOADED,
                    "no place for " + pending.mRequest.adapter(),
                    pending.mRoute.objectiveNanos(),
                    nowNanos);
        } else {
            mAttempts.awaitAdapter(pending, choice.target(), nowNanos);
        }
    }

    private void end(PendingRequest pending, String outcome, long nowNanos) {
        mByExchange.remove(pending.mExchange);
        mAttempts.endWait(pending);
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

    /**
     * Refuses a request, or relays the failure response that was held back if it may have run.
     *
     * @param notRunCode why it is refused if it has not run
     */
    private void refuse(
            PendingRequest pending,
            RefusalCode notRunCode,
            String detail,
            long retryNanos,
            long nowNanos) {
        refund(pending);
        if (pending.mResponseHeld) {
            mOut.effect(new GatewayEffect.RelayHeldResponse(pending.mExchange));
            end(pending, "target_failed", nowNanos);
            return;
        }
        Verdict verdict = pending.mMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        RefusalCode code = pending.mMayHaveRun ? notRunCode.ofPossibleRun() : notRunCode;
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

    /** Returns the charge for the current attempt, which was not sent and is due again. */
    private void refundRetry(PendingRequest pending, long nowNanos) {
        if (pending.mRetryCharged) {
            mRetries.refund(pending.mService, nowNanos);
            pending.mRetryCharged = false;
            pending.mRetryDue = true;
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

    /** Refuses a request that no target takes now. */
    private void refuseWithoutTarget(PendingRequest pending, long nowNanos) {
        Optional<GatewayAttempts.LimitWait> wait = mAttempts.limitWait(pending, nowNanos);
        if (wait.isPresent()) {
            boolean cold = wait.get().reason() == Reason.COLD;
            count(cold ? "cold_refused" : "limit_refused");
            refuse(
                    pending,
                    RefusalCode.UNAVAILABLE,
                    "all targets " + (cold ? "cold of " : "limited of ") + pending.mService,
                    wait.get().nanos(),
                    nowNanos);
            return;
        }
        Optional<Long> pause = mAttempts.remainingPauseNanos(pending, nowNanos);
        Map<Reason, Integer> excluded = mAttempts.excludedByOperators(pending, nowNanos);
        StringBuilder detail = new StringBuilder();
        detail.append(pause.isPresent() ? "all targets pause of " : "no target of ");
        detail.append(pending.mService);
        excluded.forEach((reason, targets) -> detail.append(' ' + reason.name() + '=' + targets));
        if (!excluded.isEmpty()) {
            count("no_allowed_target");
        }
        refuse(
                pending,
                RefusalCode.UNAVAILABLE,
                detail.toString(),
                Math.max(UNAVAILABLE_RETRY_NANOS, pause.orElse(0L)),
                nowNanos);
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
                repeatable && attemptsLeft && mRetries.canWithdraw(pending.mService, nowNanos);
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
            pending.mRetryDue = true;
            pending.mRetryCharged = false;
            dispatch(pending, nowNanos);
        } else {
            long retryNanos = pending.mMayHaveRun ? 0 : UNAVAILABLE_RETRY_NANOS;
            refuse(pending, RefusalCode.UNAVAILABLE, why, retryNanos, nowNanos);
        }
    }
}
