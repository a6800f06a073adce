package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.membership.MemberMessage;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.retry.RetryBudget;
import ebonygw.retry.RetryOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The requests of an entry, from their arrival to the end of their answers.
 *
 * <p>Not thread-safe.
 */
final class GatewayCalls {
    /** Least time left for an attempt: a round trip between regions. */
    private static final long LEAST_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** How long a load may take before another home is asked: four times one load's duration. */
    private static final long LOAD_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** How long a target that rejected a request is left alone. */
    private static final long REJECTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time to come back when no target can take a request. */
    private static final long UNAVAILABLE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time to come back when there is no configuration yet: about as long as a start takes. */
    private static final long NOT_READY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Time to come back, to another entry, when this one stops. */
    private static final long STOPPING_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Weight of the newest request in the mean of tokens to be read. */
    private static final double SMOOTHING = 0.05;

    /** Part of a target's connections that entries use, as others call it too. */
    private static final double CONNECTIONS_PART = 0.8;

    /** Least connections of an entry to a target: one that is used and one that is opened. */
    private static final int LEAST_CONNECTIONS = 2;

    /** Most targets that one request is sent to if none of them runs it. */
    private static final int MOST_REJECTIONS = 3;

    private final GatewayOptions mOptions;
    private final Supplier<GatewaySettings> mSettings;
    private final Map<String, Long> mWantedVersions;
    private final TargetTable mTargets;
    private final FleetQuota mQuota;
    private final TargetChooser mChooser;
    private final GatewayOutbox mOut;
    private final Map<Long, GatewayCall> mCalls = new LinkedHashMap<>();
    private final Map<String, RetryBudget> mRetries = new HashMap<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();
    private RetryOptions mRetryOptions;
    private double mUnreadTokens;
    private int mEntries;

    GatewayCalls(
            GatewayOptions options,
            Supplier<GatewaySettings> settings,
            Map<String, Long> wantedVersions,
            TargetTable targets,
            FleetQuota quota,
            GatewayOutbox out) {
        mOptions = options;
        mSettings = settings;
        mWantedVersions = wantedVersions;
        mTargets = targets;
        mQuota = quota;
        mChooser = new TargetChooser(ChooserOptions.defaults(options.self().locality()));
        mOut = out;
        onEntries(1);
    }

    /** Returns the numbers of requests by what became of them. */
    Map<String, Long> counts() {
        return mCounts;
    }

    int open() {
        return mCalls.size();
    }

    void answerEnded(long exchange, int attempt, long nowNanos) {
        GatewayCall call = current(exchange, attempt);
        if (call == null) {
            return;
        }
        leaveTarget(call, true, nowNanos);
        end(call, "served", nowNanos);
    }

    void answerHeld(GatewayEvent.AnswerHeld held, long nowNanos) {
        GatewayCall call = current(held.exchange(), held.attempt());
        if (call == null) {
            return;
        }
        GatewayTarget target = mTargets.get(call.mTargetId);
        if (target != null) {
            held.load().ifPresent(load -> target.onLoad(load, nowNanos));
        }
        if (!held.run() && target != null) {
            onRejected(call, target, held.status(), nowNanos);
        }
        leaveTarget(call, !held.run() || held.status() < 500, nowNanos);
        call.mHeld = true;
        call.mMayHaveRun |= held.run();
        call.mRuns += held.run() ? 1 : 0;
        retry(call, "status_" + held.status(), held.run(), nowNanos);
    }

    void answerStarted(GatewayEvent.AnswerStarted started, long nowNanos) {
        GatewayCall call = current(started.exchange(), started.attempt());
        if (call == null) {
            return;
        }
        call.mStarted = true;
        call.mMayHaveRun = true;
        call.mStartedNanos = nowNanos;
        GatewayTarget target = mTargets.get(call.mTargetId);
        if (target != null) {
            target.onStarted(call.mUnstartedTokens);
            started.load().ifPresent(load -> target.onLoad(load, nowNanos));
        }
        call.mUnstartedTokens = 0;
    }

    /**
     * Takes a request.
     *
     * @param stopping whether too little time is left before the process ends
     */
    void ask(long exchange, GatewayRequest request, boolean stopping, long nowNanos) {
        count("asked");
        if (stopping) {
            refuseNew(exchange, request, RefusalCode.STOPPING, STOPPING_RETRY_NANOS);
            return;
        }
        GatewaySettings settings = mSettings.get();
        if (settings == null) {
            refuseNew(exchange, request, RefusalCode.NOT_READY, NOT_READY_RETRY_NANOS);
            return;
        }
        Optional<GatewayRoute> route = settings.route(request.host(), request.path());
        if (route.isEmpty()) {
            refuseNew(exchange, request, RefusalCode.NOT_FOUND, 0);
            return;
        }
        Optional<GatewayCustomer> customer = settings.customerByKey(request.keyHash());
        boolean needsKey = !route.get().openToAll() && !settings.customers().isEmpty();
        if (needsKey && customer.isEmpty()) {
            refuseNew(exchange, request, RefusalCode.UNAUTHENTICATED, 0);
            return;
        }
        admit(exchange, request, route.get(), customer, nowNanos);
    }

    void attemptFailed(GatewayEvent.AttemptFailed failed, long nowNanos) {
        GatewayCall call = current(failed.exchange(), failed.attempt());
        if (call == null) {
            return;
        }
        leaveTarget(call, false, nowNanos);
        call.mMayHaveRun |= failed.mayHaveRun();
        call.mRuns += failed.mayHaveRun() ? 1 : 0;
        if (failed.started() || failed.late()) {
            RefusalCode code = failed.late() ? RefusalCode.TIMEOUT : RefusalCode.BROKEN_ANSWER;
            refuse(call, code, failed.detail(), 0, nowNanos);
            return;
        }
        retry(call, failed.detail(), failed.mayHaveRun(), nowNanos);
    }

    void gone(long exchange, long nowNanos) {
        GatewayCall call = mCalls.get(exchange);
        if (call == null) {
            return;
        }
        if (!call.mTargetId.isEmpty()) {
            mOut.effect(new GatewayEffect.Cancel(exchange));
            call.mMayHaveRun = true;
            leaveTarget(call, true, nowNanos);
        }
        giveBack(call);
        end(call, "caller_gone", nowNanos);
    }

    /** Takes in how many entries share the fleet's allowance of retries. */
    void onEntries(int entries) {
        if (entries == mEntries) {
            return;
        }
        mEntries = entries;
        double extra = mOptions.retryExtra() / entries / 2;
        double perSecond = extra * 1e9 / mOptions.retryWindowNanos();
        int percent = (int) (mOptions.retryRatio() * 100);
        RetryOptions defaults = RetryOptions.defaults();
        mRetryOptions =
                new RetryOptions(
                        defaults.maxAttempts(),
                        percent,
                        extra,
                        perSecond,
                        LEAST_LEFT_NANOS,
                        defaults.maxRemembered());
        mRetries.clear();
    }

    /** Goes on with the requests that wait for an adapter. */
    void wake(long nowNanos) {
        List<GatewayCall> waiting = new ArrayList<>();
        for (GatewayCall call : mCalls.values()) {
            if (call.isWaiting()) {
                waiting.add(call);
            }
        }
        waiting.forEach(call -> dispatch(call, nowNanos));
    }

    private void admit(
            long exchange,
            GatewayRequest request,
            GatewayRoute route,
            Optional<GatewayCustomer> customer,
            long nowNanos) {
        String name = customer.map(GatewayCustomer::name).orElse("");
        long charge = customer.map(it -> request.charge(it.plainTokens())).orElse(0L);
        int priority =
                customer.filter(it -> it.priority() >= 0)
                        .map(it -> it.priority())
                        .orElse(route.priority());
        GatewayCall call =
                new GatewayCall(
                        exchange,
                        request,
                        route,
                        route.service(request.hash()),
                        name,
                        priority,
                        charge,
                        nowNanos);
        mCalls.put(exchange, call);
        long wait = mQuota.charge(name, charge, nowNanos);
        if (wait > 0) {
            String detail = "tokens=" + charge + " left=" + mQuota.level(name);
            refuse(call, RefusalCode.OVER_RATE, detail, wait, nowNanos);
            return;
        }
        call.mCharged = true;
        retryBudget(call.mService, nowNanos).onRequest(mRetryOptions.targetPercent(), nowNanos);
        dispatch(call, nowNanos);
    }

    private void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    /** Returns this entry's part of the connections that a target of a service takes. */
    private int connections(String service) {
        int all = mSettings.get().service(service).map(GatewayService::maxConnections).orElse(1);
        return (int) Math.max(LEAST_CONNECTIONS, all * CONNECTIONS_PART / mEntries);
    }

    private GatewayCall current(long exchange, int attempt) {
        GatewayCall call = mCalls.get(exchange);
        return call != null && call.mAttempts == attempt && !call.mTargetId.isEmpty() ? call : null;
    }

    /** Sends a request to a target, or lets it wait for its adapter, or refuses it. */
    private void dispatch(GatewayCall call, long nowNanos) {
        long left = call.mDeadlineNanos - nowNanos;
        if (left < LEAST_LEFT_NANOS) {
            refuse(call, lateCode(call), "no time left", 0, nowNanos);
            return;
        }
        GatewayRequest request = call.mRequest;
        long wanted = mWantedVersions.getOrDefault(request.adapter(), 0L);
        TargetChooser.Choice choice =
                mChooser.choose(
                        request,
                        wanted,
                        mTargets.ofService(call.mService),
                        call.mTried,
                        (long) mUnreadTokens,
                        nowNanos);
        if (choice == null) {
            refuse(
                    call,
                    call.mMayHaveRun ? RefusalCode.LOST : RefusalCode.UNAVAILABLE,
                    "no target of " + call.mService,
                    UNAVAILABLE_RETRY_NANOS,
                    nowNanos);
        } else if (choice.startNanos() > left) {
            refuse(
                    call,
                    call.mMayHaveRun ? RefusalCode.LOST : RefusalCode.OVERLOADED,
                    "would start in ms " + choice.startNanos() / 1_000_000,
                    Math.max(UNAVAILABLE_RETRY_NANOS, choice.startNanos() - left),
                    nowNanos);
        } else if (choice.resident()) {
            send(call, choice, wanted, left, nowNanos);
        } else {
            await(call, choice.target(), wanted, nowNanos);
        }
    }

    private void await(GatewayCall call, GatewayTarget target, long wanted, long nowNanos) {
        boolean first = !call.isWaiting();
        if (!first && nowNanos - call.mWaitingSinceNanos < LOAD_PATIENCE_NANOS) {
            return;
        }
        call.mWaitingSinceNanos = nowNanos;
        ask(target, call.mRequest.adapter(), wanted);
        mOut.log(
                LogLine.of("adapter_awaited")
                        .with("request", call.mRequest.id())
                        .with("adapter", call.mRequest.adapter())
                        .with("version", wanted)
                        .with("target", target.record().id())
                        .with("again", !first));
    }

    private void ask(GatewayTarget target, String adapter, long version) {
        String name = version == 0 ? "" : Long.toString(version);
        mOut.send(target.loader(), new MemberMessage.Prefetch(new AdapterVersion(adapter, name)));
    }

    private void end(GatewayCall call, String outcome, long nowNanos) {
        mCalls.remove(call.mExchange);
        count(outcome);
        long started = call.mStarted ? call.mStartedNanos - call.mArrivedNanos : -1;
        long total = nowNanos - call.mArrivedNanos;
        mOut.effect(new GatewayEffect.Ended(call.mRoute.kind(), outcome, started, total));
        mOut.log(
                LogLine.of("request_ended")
                        .with("request", call.mRequest.id())
                        .with("route", call.mRoute.name())
                        .with("customer", call.mCustomer)
                        .with("outcome", outcome)
                        .with("attempts", call.mAttempts)
                        .with("may_have_run", call.mMayHaveRun)
                        .with("start_ms", started < 0 ? -1 : started / 1_000_000)
                        .with("ms", total / 1_000_000));
    }

    private void giveBack(GatewayCall call) {
        if (call.mCharged && !call.mMayHaveRun) {
            mQuota.giveBack(call.mCustomer, call.mCharge);
        }
    }

    private static RefusalCode lateCode(GatewayCall call) {
        return call.mMayHaveRun ? RefusalCode.TIMEOUT : RefusalCode.DEADLINE;
    }

    private void leaveTarget(GatewayCall call, boolean good, long nowNanos) {
        GatewayTarget target = mTargets.get(call.mTargetId);
        call.mTargetId = "";
        if (target == null) {
            return;
        }
        target.onEnded(call.mRequest.adapter(), call.mStarted, call.mUnstartedTokens);
        call.mUnstartedTokens = 0;
        if (good) {
            target.mHealth.onSuccess(nowNanos);
        } else {
            boolean before = target.mHealth.isEjected(nowNanos);
            target.mHealth.onFailure(nowNanos);
            if (!before && target.mHealth.isEjected(nowNanos)) {
                mOut.log(LogLine.of("target_ejected").with("target", target.record().id()));
            }
        }
    }

    private void onRejected(GatewayCall call, GatewayTarget target, int status, long nowNanos) {
        String adapter = call.mRequest.adapter();
        if (status == 421 && !adapter.isEmpty()) {
            target.onAbsent(adapter, nowNanos);
        } else {
            target.avoidUntil(nowNanos + REJECTED_NANOS);
        }
    }

    private void refuse(
            GatewayCall call, RefusalCode code, String detail, long retryNanos, long nowNanos) {
        giveBack(call);
        if (call.mHeld && call.mMayHaveRun) {
            mOut.effect(new GatewayEffect.Relay(call.mExchange));
            end(call, "target_failed", nowNanos);
            return;
        }
        Verdict verdict = call.mMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        mOut.log(
                LogLine.of("request_refused")
                        .with("request", call.mRequest.id())
                        .with("code", code)
                        .with("verdict", verdict)
                        .with("detail", detail)
                        .with("retry_ms", retryNanos / 1_000_000));
        mOut.effect(
                new GatewayEffect.Refused(
                        call.mExchange, new Refusal(code, verdict, detail, retryNanos)));
        end(call, code.name().toLowerCase(Locale.ROOT), nowNanos);
    }

    private void refuseNew(
            long exchange, GatewayRequest request, RefusalCode code, long retryNanos) {
        count(code.name().toLowerCase(Locale.ROOT));
        mOut.log(
                LogLine.of("request_refused")
                        .with("request", request.id())
                        .with("code", code)
                        .with("host", request.host())
                        .with("path", request.path()));
        mOut.effect(
                new GatewayEffect.Refused(
                        exchange, new Refusal(code, Verdict.NOT_RUN, "", retryNanos)));
    }

    /** Sends a request to another target if that is allowed, or ends it. */
    private void retry(GatewayCall call, String why, boolean mayHaveRun, long nowNanos) {
        RetryBudget budget = retryBudget(call.mService, nowNanos);
        boolean repeatable = !call.mMayHaveRun || call.mayRepeat();
        boolean attemptsLeft =
                call.mRuns < call.mRoute.maxAttempts()
                        && call.mAttempts < call.mRoute.maxAttempts() + MOST_REJECTIONS;
        boolean allowed = repeatable && attemptsLeft && budget.hasRoom(nowNanos);
        mOut.log(
                LogLine.of("attempt_ended")
                        .with("request", call.mRequest.id())
                        .with("attempt", call.mAttempts)
                        .with("why", why)
                        .with("may_have_run", mayHaveRun)
                        .with("repeatable", repeatable)
                        .with("attempts_left", attemptsLeft)
                        .with("retry", allowed));
        if (allowed) {
            budget.spend();
            dispatch(call, nowNanos);
        } else if (call.mMayHaveRun) {
            refuse(call, RefusalCode.LOST, why, 0, nowNanos);
        } else {
            refuse(call, RefusalCode.UNAVAILABLE, why, UNAVAILABLE_RETRY_NANOS, nowNanos);
        }
    }

    private RetryBudget retryBudget(String service, long nowNanos) {
        return mRetries.computeIfAbsent(service, s -> new RetryBudget(mRetryOptions, nowNanos));
    }

    private void send(
            GatewayCall call,
            TargetChooser.Choice choice,
            long wantedVersion,
            long leftNanos,
            long nowNanos) {
        GatewayTarget target = choice.target();
        GatewayRequest request = call.mRequest;
        call.mWaitingSinceNanos = Long.MIN_VALUE;
        call.mAttempts++;
        call.mHeld = false;
        call.mTargetId = target.record().id();
        call.mTried.add(call.mTargetId);
        String owner = request.adapter().isEmpty() ? request.model() : request.adapter();
        long cached = target.prompts().cached(owner, request.promptParts());
        call.mUnstartedTokens = Math.max(0, request.promptTokens() - cached);
        target.onSent(request.adapter(), call.mUnstartedTokens);
        mUnreadTokens += SMOOTHING * (call.mUnstartedTokens - mUnreadTokens);
        target.prompts().read(owner, request.promptParts());
        mOut.log(
                LogLine.of("attempt_sent")
                        .with("request", request.id())
                        .with("attempt", call.mAttempts)
                        .with("customer", call.mCustomer)
                        .with("tokens", call.mCharge)
                        .with("quota_left", mQuota.level(call.mCustomer))
                        .with("target", call.mTargetId)
                        .with("load", target.load(nowNanos))
                        .with("cost_ms", choice.costNanos() / 1_000_000)
                        .with("adapter", request.adapter())
                        .with("version", wantedVersion)
                        .with("left_ms", leftNanos / 1_000_000));
        mOut.effect(
                new GatewayEffect.Attempt(
                        call.mExchange,
                        request,
                        new AttemptTerms(
                                call.mAttempts,
                                call.mTargetId,
                                target.record().address(),
                                connections(call.mService),
                                call.mCustomer,
                                call.mPriority,
                                wantedVersion,
                                leftNanos)));
    }
}
