package ebonygw.gateway;

import ebonygw.log.LogLine;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Makes the attempts of an entry's requests: chooses targets, sends, and tracks which requests are
 * outstanding at each target.
 *
 * <p>Not thread-safe.
 */
final class GatewayAttempts {
    /** Expected duration of an adapter load from the weight store, by the system requirements. */
    private static final long LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** How long a target that rejected a request gets no new ones. */
    private static final long REJECTION_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Weight of the newest request in the moving average of prefill tokens. */
    private static final double MEAN_WEIGHT = 0.05;

    /** Fraction of a target's connections that entries use; the rest is for its other clients. */
    private static final double CONNECTIONS_FRACTION = 0.8;

    /** Minimum number of connections of an entry to a target: one in use and one being opened. */
    private static final int MIN_CONNECTIONS = 2;

    /** HTTP status of a target that lacks the adapter or holds another version of it. */
    private static final int MISDIRECTED = 421;

    private final OperatorState mOperator;
    private final TargetTable mTargets;
    private final FleetSize mFleet;
    private final TargetChooser mChooser;
    private final boolean mReportsUrgency;
    private final GatewayOutbox mOut;
    private double mMeanPrefillTokens;

    /**
     * Creates attempts.
     *
     * @param reportsUrgency whether loaders are told how urgent the waiting requests are
     */
    GatewayAttempts(
            OperatorState operator,
            TargetTable targets,
            FleetSize fleet,
            TargetChooser chooser,
            boolean reportsUrgency,
            GatewayOutbox out) {
        mOperator = operator;
        mTargets = targets;
        mFleet = fleet;
        mChooser = chooser;
        mReportsUrgency = reportsUrgency;
        mOut = out;
    }

    /** Registers that a request waits until a target has loaded its adapter. */
    void awaitAdapter(PendingRequest pending, GatewayTarget target, long nowNanos) {
        String id = target.record().id();
        boolean withinObjective = pending.canMeetObjective(LOAD_NANOS, nowNanos);
        if (id.equals(pending.mAwaitedTargetId)) {
            if (pending.mAwaitedWithinObjective && !withinObjective) {
                pending.mAwaitedWithinObjective = false;
                target.needs().onObjectiveMissed(pending.mRequest.adapter());
            }
            return;
        }
        boolean alreadyWaiting = pending.isWaiting();
        endWait(pending);
        String adapter = pending.mRequest.adapter();
        long wanted = mOperator.wantedVersion(adapter);
        pending.mAwaitedTargetId = id;
        pending.mAwaitedWithinObjective = withinObjective;
        target.onWaiting(adapter, wanted, withinObjective);
        if (mReportsUrgency) {
            target.needs().addWaiting(pending);
        }
        mOut.log(
                LogLine.of("adapter_awaited")
                        .with("request", pending.mRequest.id())
                        .with("adapter", adapter)
                        .with("version", wanted)
                        .with("target", id)
                        .with("open_places", target.openAdapterSlots())
                        .with("again", alreadyWaiting));
    }

    /**
     * Returns the cheapest target, null if there is none.
     *
     * @param excluded ids of the targets that must not be chosen
     */
    TargetChooser.Choice choose(PendingRequest pending, Set<String> excluded, long nowNanos) {
        return mChooser.choose(
                pending.mRequest,
                mOperator.wantedVersion(pending.mRequest.adapter()),
                mTargets.ofService(pending.mService),
                excluded,
                pending.mAwaitedTargetId,
                (long) mMeanPrefillTokens,
                nowNanos);
    }

    /**
     * Ends the attempt of a request and records the outcome in the health of its target.
     *
     * @param succeeded whether the attempt counts as a success of the target
     */
    void endAttempt(PendingRequest pending, boolean succeeded, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        pending.mTargetId = "";
        if (target == null) {
            return;
        }
        target.onEnded(pending.mRequest.adapter(), pending.mStarted, pending.mPrefillTokens);
        pending.mPrefillTokens = 0;
        if (succeeded) {
            target.mHealth.onSuccess(nowNanos);
            return;
        }
        boolean wasEjected = target.mHealth.isEjected(nowNanos);
        target.mHealth.onFailure(nowNanos);
        if (!wasEjected && target.mHealth.isEjected(nowNanos)) {
            mOut.log(LogLine.of("target_ejected").with("target", target.record().id()));
        }
    }

    /** Returns whether a usable target that has not been tried yet can run a request now. */
    boolean canRunNow(PendingRequest pending, long nowNanos) {
        long wanted = mOperator.wantedVersion(pending.mRequest.adapter());
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            if (TargetChooser.isResident(target, pending.mRequest, wanted, nowNanos)
                    && target.isUsable(nowNanos)
                    && !pending.mTriedTargetIds.contains(target.record().id())) {
                return true;
            }
        }
        return false;
    }

    /** Ends the wait of a request for its adapter; does nothing if it does not wait. */
    void endWait(PendingRequest pending) {
        GatewayTarget target = mTargets.get(pending.mAwaitedTargetId);
        pending.mAwaitedTargetId = "";
        if (target != null) {
            target.needs()
                    .onWaitingEnded(pending.mRequest.adapter(), pending.mAwaitedWithinObjective);
            target.needs().removeWaiting(pending);
        }
    }

    /** Applies the load that a target has reported with a response. */
    void onLoad(PendingRequest pending, Optional<TargetLoad> load, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null) {
            load.ifPresent(it -> target.onLoad(it, nowNanos));
        }
    }

    /**
     * Applies a notice of the target that a request was sent to, unless another incarnation has
     * taken its place.
     *
     * @return whether the target gets no new requests because of it
     */
    boolean onNotice(PendingRequest pending, TargetNotice notice, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target == null || !target.record().incarnation().equals(pending.mTargetIncarnation)) {
            return false;
        }
        GatewayTarget.Unavailability before = target.unavailability(nowNanos);
        target.onNotice(notice, nowNanos);
        GatewayTarget.Unavailability after = target.unavailability(nowNanos);
        if (after != before || notice.pauseNanos() > 0) {
            mOut.log(
                    LogLine.of("target_noticed")
                            .with("target", pending.mTargetId)
                            .with("request", pending.mRequest.id())
                            .with("leaving", notice.leaving())
                            .with("pause_ms", notice.pauseNanos() / 1_000_000)
                            .with("before", before)
                            .with("after", after));
        }
        if (after != before) {
            mOut.effect(new GatewayEffect.WithdrawWaiting(target.record().address()));
        }
        return after != before;
    }

    /**
     * Returns how long it takes until the first of a service's paused targets accepts requests
     * again, if no other of its targets remains.
     */
    Optional<Long> remainingPauseNanos(String service, long nowNanos) {
        long earliest = Long.MAX_VALUE;
        for (GatewayTarget target : mTargets.ofService(service)) {
            GatewayTarget.Unavailability why = target.unavailability(nowNanos);
            if (why == GatewayTarget.Unavailability.PAUSED) {
                earliest = Math.min(earliest, target.pausedUntilNanos());
            } else if (why != GatewayTarget.Unavailability.LEAVING) {
                return Optional.empty();
            }
        }
        return earliest == Long.MAX_VALUE ? Optional.empty() : Optional.of(earliest - nowNanos);
    }

    /** Handles the rejection of a request that the target did not run. */
    void onRejected(PendingRequest pending, int status, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target == null) {
            return;
        }
        String adapter = pending.mRequest.adapter();
        if (status == MISDIRECTED && !adapter.isEmpty()) {
            target.onAdapterAbsent(adapter, nowNanos);
        } else {
            target.avoidUntil(nowNanos + REJECTION_BACKOFF_NANOS);
        }
    }

    /** Handles the start of a target's response, which ends the prefill of the prompt. */
    void onStarted(PendingRequest pending) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null) {
            target.onStarted(pending.mPrefillTokens);
        }
        pending.mPrefillTokens = 0;
    }

    /**
     * Sends a request to a target.
     *
     * @param costNanos expected cost of the target, for the log
     * @param quotaLeft tokens that the customer has left, for the log
     * @param remainingNanos time left until the deadline
     */
    void send(
            PendingRequest pending,
            GatewayTarget target,
            long costNanos,
            long quotaLeft,
            long remainingNanos,
            long nowNanos) {
        GatewayRequest request = pending.mRequest;
        long wanted = mOperator.wantedVersion(request.adapter());
        endWait(pending);
        pending.mResponseHeld = false;
        pending.mAttempts++;
        pending.mSentNanos = nowNanos;
        pending.mTargetId = target.record().id();
        pending.mTargetIncarnation = target.record().incarnation();
        pending.mTriedTargetIds.add(pending.mTargetId);
        String cacheOwner = request.adapter().isEmpty() ? request.model() : request.adapter();
        long cached = target.promptCache().cachedTokens(cacheOwner, request.promptParts());
        pending.mPrefillTokens = Math.max(0, request.promptTokens() - cached);
        target.onSent(request.adapter(), pending.mPrefillTokens);
        mMeanPrefillTokens += MEAN_WEIGHT * (pending.mPrefillTokens - mMeanPrefillTokens);
        target.promptCache().onPromptSent(cacheOwner, request.promptParts());
        mOut.log(
                LogLine.of("attempt_sent")
                        .with("request", request.id())
                        .with("attempt", pending.mAttempts)
                        .with("customer", pending.mCustomer)
                        .with("tokens", pending.mCharge)
                        .with("quota_left", quotaLeft)
                        .with("target", pending.mTargetId)
                        .with("load", target.load(nowNanos))
                        .with("cost_ms", costNanos / 1_000_000)
                        .with("adapter", request.adapter())
                        .with("version", wanted)
                        .with("parts", String.join(",", request.sharedPartIds()))
                        .with("left_ms", remainingNanos / 1_000_000));
        mOut.effect(
                new GatewayEffect.Attempt(
                        pending.mExchange,
                        request,
                        new AttemptTerms(
                                pending.mAttempts,
                                pending.mTargetId,
                                target.record().address(),
                                maxConnections(pending.mService),
                                pending.mCustomer,
                                pending.mPriority,
                                wanted,
                                remainingNanos)));
    }

    /** Returns this entry's part of the connections that a target of a service accepts. */
    private int maxConnections(String service) {
        int accepted = mOperator.service(service).map(GatewayService::maxConnections).orElse(1);
        return (int) Math.max(MIN_CONNECTIONS, accepted * CONNECTIONS_FRACTION / mFleet.entries());
    }
}
