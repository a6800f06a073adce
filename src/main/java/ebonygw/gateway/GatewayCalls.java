package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The requests of an entry, from their arrival to the end of their answers.
 *
 * <p>Not thread-safe.
 */
final class GatewayCalls {
    /** Latency objectives after which a request waits no longer where all places are in use. */
    private static final int HOPELESS_OBJECTIVES = 2;

    /** Time to come back when no target can take a request. */
    private static final long UNAVAILABLE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Most targets that one request is sent to if none of them runs it. */
    private static final int MOST_REJECTIONS = 3;

    private final FleetQuota mQuota;
    private final GatewayAdmission mAdmission;
    private final FleetRetryBudgets mRetries;
    private final GatewayAttempts mAttempts;
    private final GatewayOutbox mOut;
    private final Map<Long, GatewayCall> mCalls = new LinkedHashMap<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();

    GatewayCalls(
            GatewayOptions options,
            OperatorState operator,
            TargetTable targets,
            FleetQuota quota,
            GatewayOutbox out) {
        mQuota = quota;
        mOut = out;
        mAdmission = new GatewayAdmission(operator);
        mRetries = new FleetRetryBudgets(options);
        mAttempts =
                new GatewayAttempts(
                        operator,
                        targets,
                        mRetries,
                        new TargetChooser(ChooserOptions.defaults(options.self().locality())),
                        out);
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
        mAttempts.leave(call, true, nowNanos);
        end(call, "served", nowNanos);
    }

    void answerHeld(GatewayEvent.AnswerHeld held, long nowNanos) {
        GatewayCall call = current(held.exchange(), held.attempt());
        if (call == null) {
            return;
        }
        mAttempts.loadTold(call, held.load(), nowNanos);
        if (!held.run()) {
            mAttempts.rejected(call, held.status(), nowNanos);
        }
        mAttempts.leave(call, !held.run() || held.status() < 500, nowNanos);
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
        mAttempts.started(call);
        mAttempts.loadTold(call, started.load(), nowNanos);
    }

    /**
     * Takes a request.
     *
     * @param stopping whether too little time is left before the process ends
     */
    void ask(long exchange, GatewayRequest request, boolean stopping, long nowNanos) {
        count("asked");
        Either<Refusal, GatewayCall> admission =
                mAdmission.admit(exchange, request, stopping, nowNanos);
        if (admission.isLeft()) {
            refuseNew(exchange, request, admission.getLeft());
            return;
        }
        GatewayCall call = admission.get();
        mCalls.put(exchange, call);
        long wait = mQuota.charge(call.mCustomer, call.mCharge, nowNanos);
        if (wait > 0) {
            String detail = "tokens=" + call.mCharge + " left=" + mQuota.level(call.mCustomer);
            refuse(call, RefusalCode.OVER_RATE, detail, wait, nowNanos);
            return;
        }
        call.mCharged = true;
        mRetries.onRequest(call.mService, nowNanos);
        dispatch(call, nowNanos);
    }

    void attemptFailed(GatewayEvent.AttemptFailed failed, long nowNanos) {
        GatewayCall call = current(failed.exchange(), failed.attempt());
        if (call == null) {
            return;
        }
        mAttempts.leave(call, false, nowNanos);
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
            mAttempts.leave(call, true, nowNanos);
        }
        giveBack(call);
        end(call, "caller_gone", nowNanos);
    }

    /** Takes in how many entries share the fleet's allowances. */
    void onEntries(int entries) {
        mRetries.onEntries(entries);
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

    private void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    private GatewayCall current(long exchange, int attempt) {
        GatewayCall call = mCalls.get(exchange);
        return call != null && call.mAttempts == attempt && !call.mTargetId.isEmpty() ? call : null;
    }

    /** Sends a request to a target, or lets it wait for its adapter, or refuses it. */
    private void dispatch(GatewayCall call, long nowNanos) {
        long left = call.mDeadlineNanos - nowNanos;
        if (left < FleetRetryBudgets.LEAST_LEFT_NANOS) {
            refuse(call, lateCode(call), "no time left", 0, nowNanos);
            return;
        }
        TargetChooser.Choice choice = mAttempts.choose(call, nowNanos);
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
            long quotaLeft = mQuota.level(call.mCustomer);
            mAttempts.send(call, choice.target(), choice.costNanos(), quotaLeft, left, nowNanos);
        } else if (isHopeless(call, choice.target(), nowNanos)) {
            refuse(
                    call,
                    call.mMayHaveRun ? RefusalCode.LOST : RefusalCode.OVERLOADED,
                    "no place for " + call.mRequest.adapter(),
                    call.mRoute.objectiveNanos(),
                    nowNanos);
        } else {
            mAttempts.await(call, choice.target(), nowNanos);
        }
    }

    private void end(GatewayCall call, String outcome, long nowNanos) {
        mCalls.remove(call.mExchange);
        mAttempts.awaitEnded(call);
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

    /** Returns whether a request has waited long while more adapters wait than places are open. */
    private static boolean isHopeless(GatewayCall call, GatewayTarget target, long nowNanos) {
        return call.isWaiting()
                && target.openPlaces() < 0
                && nowNanos - call.mArrivedNanos
                        > HOPELESS_OBJECTIVES * call.mRoute.objectiveNanos();
    }

    private static RefusalCode lateCode(GatewayCall call) {
        return call.mMayHaveRun ? RefusalCode.TIMEOUT : RefusalCode.DEADLINE;
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

    private void refuseNew(long exchange, GatewayRequest request, Refusal refusal) {
        count(refusal.code().name().toLowerCase(Locale.ROOT));
        mOut.log(
                LogLine.of("request_refused")
                        .with("request", request.id())
                        .with("code", refusal.code())
                        .with("host", request.host())
                        .with("path", request.path()));
        mOut.effect(new GatewayEffect.Refused(exchange, refusal));
    }

    /** Sends a request to another target if that is allowed, or ends it. */
    private void retry(GatewayCall call, String why, boolean mayHaveRun, long nowNanos) {
        boolean repeatable = !call.mMayHaveRun || call.mayRepeat();
        boolean attemptsLeft =
                call.mRuns < call.mRoute.maxAttempts()
                        && call.mAttempts < call.mRoute.maxAttempts() + MOST_REJECTIONS;
        boolean allowed = repeatable && attemptsLeft && mRetries.spend(call.mService, nowNanos);
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
            dispatch(call, nowNanos);
        } else if (call.mMayHaveRun) {
            refuse(call, RefusalCode.LOST, why, 0, nowNanos);
        } else {
            refuse(call, RefusalCode.UNAVAILABLE, why, UNAVAILABLE_RETRY_NANOS, nowNanos);
        }
    }
}
