package ebonygw.gateway;

import ebonygw.log.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The attempts of an entry's requests: chooses targets, sends, and keeps account of what is under
 * way at each target.
 *
 * <p>Not thread-safe.
 */
final class GatewayAttempts {
    /** Duration of a load from the weight store, by the brief. */
    private static final long LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** How long a target that rejected a request is left alone. */
    private static final long REJECTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Weight of the newest request in the mean of tokens to be read. */
    private static final double SMOOTHING = 0.05;

    /** Part of a target's connections that entries use, as others call it too. */
    private static final double CONNECTIONS_PART = 0.8;

    /** Least connections of an entry to a target: one that is used and one that is opened. */
    private static final int LEAST_CONNECTIONS = 2;

    /** Status of a target that lacks the adapter, or holds another version of it. */
    private static final int MISDIRECTED = 421;

    private final OperatorState mOperator;
    private final TargetTable mTargets;
    private final FleetRetryBudgets mRetries;
    private final TargetChooser mChooser;
    private final GatewayOutbox mOut;
    private double mUnreadTokens;

    GatewayAttempts(
            OperatorState operator,
            TargetTable targets,
            FleetRetryBudgets retries,
            TargetChooser chooser,
            GatewayOutbox out) {
        mOperator = operator;
        mTargets = targets;
        mRetries = retries;
        mChooser = chooser;
        mOut = out;
    }

    /** Lets a request wait until a target has loaded its adapter. */
    void await(GatewayCall call, GatewayTarget target, long nowNanos) {
        String id = target.record().id();
        boolean punctual = call.isPunctual(LOAD_NANOS, nowNanos);
        if (id.equals(call.mAwaitedTargetId)) {
            if (call.mAwaitedPunctually && !punctual) {
                call.mAwaitedPunctually = false;
                target.needs().late(call.mRequest.adapter());
            }
            return;
        }
        boolean again = call.isWaiting();
        awaitEnded(call);
        String adapter = call.mRequest.adapter();
        long wanted = mOperator.wantedVersion(adapter);
        call.mAwaitedTargetId = id;
        call.mAwaitedPunctually = punctual;
        target.onWaiting(adapter, wanted, punctual);
        mOut.log(
                LogLine.of("adapter_awaited")
                        .with("request", call.mRequest.id())
                        .with("adapter", adapter)
                        .with("version", wanted)
                        .with("target", id)
                        .with("open_places", target.openPlaces())
                        .with("again", again));
    }

    /** Ends the wait of a request for its adapter, if it waits. */
    void awaitEnded(GatewayCall call) {
        GatewayTarget target = mTargets.get(call.mAwaitedTargetId);
        call.mAwaitedTargetId = "";
        if (target != null) {
            target.needs().waitingEnded(call.mRequest.adapter(), call.mAwaitedPunctually);
        }
    }

    /** Returns the cheapest target of a request that it was not sent to, null if there is none. */
    TargetChooser.Choice choose(GatewayCall call, long nowNanos) {
        return mChooser.choose(
                call.mRequest,
                mOperator.wantedVersion(call.mRequest.adapter()),
                mTargets.ofService(call.mService),
                call.mTried,
                call.mAwaitedTargetId,
                (long) mUnreadTokens,
                nowNanos);
    }

    /**
     * Ends the account of a request at its target.
     *
     * @param good whether the target did as it should
     */
    void leave(GatewayCall call, boolean good, long nowNanos) {
        GatewayTarget target = mTargets.get(call.mTargetId);
        call.mTargetId = "";
        if (target == null) {
            return;
        }
        target.onEnded(call.mRequest.adapter(), call.mStarted, call.mUnstartedTokens);
        call.mUnstartedTokens = 0;
        if (good) {
            target.mHealth.onSuccess(nowNanos);
            return;
        }
        boolean before = target.mHealth.isEjected(nowNanos);
        target.mHealth.onFailure(nowNanos);
        if (!before && target.mHealth.isEjected(nowNanos)) {
            mOut.log(LogLine.of("target_ejected").with("target", target.record().id()));
        }
    }

    /** Takes in the load that a target told with an answer. */
    void loadTold(GatewayCall call, Optional<TargetLoad> load, long nowNanos) {
        GatewayTarget target = mTargets.get(call.mTargetId);
        if (target != null) {
            load.ifPresent(it -> target.onLoad(it, nowNanos));
        }
    }

    /** Takes in that a target has rejected a request without running it. */
    void rejected(GatewayCall call, int status, long nowNanos) {
        GatewayTarget target = mTargets.get(call.mTargetId);
        if (target == null) {
            return;
        }
        String adapter = call.mRequest.adapter();
        if (status == MISDIRECTED && !adapter.isEmpty()) {
            target.onAbsent(adapter, nowNanos);
        } else {
            target.avoidUntil(nowNanos + REJECTED_NANOS);
        }
    }

    /** Sends a request to a target. */
    void send(
            GatewayCall call,
            GatewayTarget target,
            long costNanos,
            long quotaLeft,
            long leftNanos,
            long nowNanos) {
        GatewayRequest request = call.mRequest;
        long wanted = mOperator.wantedVersion(request.adapter());
        awaitEnded(call);
        call.mHeld = false;
        call.mAttempts++;
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
                        .with("quota_left", quotaLeft)
                        .with("target", call.mTargetId)
                        .with("load", target.load(nowNanos))
                        .with("cost_ms", costNanos / 1_000_000)
                        .with("adapter", request.adapter())
                        .with("version", wanted)
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
                                wanted,
                                leftNanos)));
    }

    /** Takes in that a target has begun to answer a request. */
    void started(GatewayCall call) {
        GatewayTarget target = mTargets.get(call.mTargetId);
        if (target != null) {
            target.onStarted(call.mUnstartedTokens);
        }
        call.mUnstartedTokens = 0;
    }

    /** Returns this entry's part of the connections that a target of a service takes. */
    private int connections(String service) {
        int all = mOperator.service(service).map(GatewayService::maxConnections).orElse(1);
        return (int) Math.max(LEAST_CONNECTIONS, all * CONNECTIONS_PART / mRetries.entries());
    }
}
