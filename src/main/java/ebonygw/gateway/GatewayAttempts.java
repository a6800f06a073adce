package ebonygw.gateway;

import ebonygw.eligibility.Ineligibility.Reason;
import ebonygw.eligibility.RegionScope;
import ebonygw.log.LogLine;
import ebonygw.targetlimit.LimitToken;
import ebonygw.targetlimit.LimitedResponse;
import ebonygw.targetlimit.LimitedTarget;
import ebonygw.targetlimit.NamedLimit;
import ebonygw.targetlimit.NamedLimits;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
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

    /** Time over which callers that are refused at the same moment are spread at least. */
    private static final long MIN_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Weight of the newest request in the moving average of prefill tokens. */
    private static final double MEAN_WEIGHT = 0.05;

    /** Fraction of a target's connections that entries use; the rest is for its other clients. */
    private static final double CONNECTIONS_FRACTION = 0.8;

    /** Minimum number of connections of an entry to a target: one in use and one being opened. */
    private static final int MIN_CONNECTIONS = 2;

    /** HTTP status of a target that lacks the adapter or holds another version of it. */
    private static final int MISDIRECTED = 421;

    /** Lowest HTTP status of a response that says nothing about the speed of its target. */
    private static final int FIRST_ERROR_STATUS = 400;

    private final OperatorState mOperator;
    private final TargetTable mTargets;
    private final FleetSize mFleet;
    private final TargetChooser mChooser;
    private final TargetSpeeds mSpeeds;
    private final Optional<SpilloverCosts> mSpillover;
    private final NamedLimits mLimits;
    private final GatewayOutbox mOut;
    private double mMeanPrefillTokens;

    GatewayAttempts(
            OperatorState operator,
            TargetTable targets,
            FleetSize fleet,
            TargetChooser chooser,
            TargetSpeeds speeds,
            Optional<SpilloverCosts> spillover,
            NamedLimits limits,
            GatewayOutbox out) {
        mOperator = operator;
        mTargets = targets;
        mFleet = fleet;
        mChooser = chooser;
        mSpeeds = speeds;
        mSpillover = spillover;
        mLimits = limits;
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
        target.limit().ifPresent(LimitedTarget::onWaiting);
        mOut.log(
                LogLine.of("adapter_awaited")
                        .with("request", pending.mRequest.id())
                        .with("adapter", adapter)
                        .with("version", wanted)
                        .with("target", id)
                        .with("open_places", target.openAdapterSlots())
                        .with("again", alreadyWaiting));
    }

    /** Returns the cheapest target that has not been tried yet, null if there is none. */
    TargetChooser.Choice choose(PendingRequest pending, long nowNanos) {
        return mChooser.choose(
                pending.mRequest,
                pending.mRegions,
                mOperator.wantedVersion(pending.mRequest.adapter()),
                mTargets.ofService(pending.mService),
                pending.mTriedTargetIds,
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
        target.mSpeed.onAbandoned(pending.mExchange);
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

    /**
     * Why no target takes a request now.
     *
     * @param reason {@link Reason#LIMITED} if any target names a limit, else {@link Reason#COLD}
     * @param nanos time until the first one takes a request
     */
    record LimitWait(Reason reason, long nanos) {}

    /**
     * Returns how long it takes until the first target of a service takes a request again, if all
     * of them are limited without a free share or, some of them, paused.
     */
    Optional<LimitWait> limitWait(PendingRequest pending, long nowNanos) {
        long earliest = Long.MAX_VALUE;
        Reason limited = null;
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            Optional<Reason> reason = target.ineligibilityReason(pending.mRegions, nowNanos);
            if (reason.isEmpty()) {
                return Optional.empty();
            }
            switch (reason.get()) {
                case LEAVING, OUTSIDE_REGIONS, EVACUATED -> {}
                case PAUSED -> earliest = Math.min(earliest, target.pausedUntilNanos() - nowNanos);
                case COLD, LIMITED -> {
                    limited = limited == Reason.LIMITED ? limited : reason.get();
                    long free = target.limit().orElseThrow().untilFreeNanos(nowNanos);
                    earliest = Math.min(earliest, free);
                }
                default -> {
                    return Optional.empty();
                }
            }
        }
        if (limited == null) {
            return Optional.empty();
        }
        // Named limits last for long, so that refused callers would return together.
        long spread = limited == Reason.LIMITED ? spread(earliest, pending.mRequest) : 0;
        return Optional.of(new LimitWait(limited, earliest + spread));
    }

    /** Returns a part of a time that depends on the request. */
    private static long spread(long nanos, GatewayRequest request) {
        double part = (request.hash() >>> 1) / (double) Long.MAX_VALUE;
        return (long) (part * Math.max(MIN_SPREAD_NANOS, nanos));
    }

    /** Ends the wait of a request for its adapter; does nothing if it does not wait. */
    void endWait(PendingRequest pending) {
        GatewayTarget target = mTargets.get(pending.mAwaitedTargetId);
        pending.mAwaitedTargetId = "";
        if (target != null) {
            target.needs()
                    .onWaitingEnded(pending.mRequest.adapter(), pending.mAwaitedWithinObjective);
            target.limit().ifPresent(LimitedTarget::onWaitingEnded);
        }
    }

    /** Applies the load that a target has reported with a response. */
    void onLoad(PendingRequest pending, Optional<TargetLoad> load, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null) {
            load.ifPresent(it -> target.onLoad(it, nowNanos));
            load.ifPresent(it -> mSpeeds.onReport(target, it.workPercent(), nowNanos));
        }
    }

    /**
     * Applies what a response states about the limit of its target.
     *
     * @param conclusive whether the absence of a limit ends a former one; a failure or rejection
     *     need not be a response of the incarnation that the request was sent to
     */
    void onLimit(PendingRequest pending, NamedLimit limit, boolean conclusive, long nowNanos) {
        mLimits.onResponse(
                new LimitedResponse(
                        pending.mTargetIncarnation,
                        pending.mRequest.id(),
                        limit,
                        pending.mSentNanos,
                        pending.mLimitVersion,
                        conclusive),
                nowNanos);
    }

    /** Learns the size of a complete response. */
    void learnEnd(PendingRequest pending, long responseBytes) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null) {
            mSpillover.ifPresent(it -> it.onEnded(target, pending, responseBytes));
        }
    }

    /** Learns the speed of a target from the start of a response, unless that is an error. */
    void learnStart(PendingRequest pending, int status, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null && status < FIRST_ERROR_STATUS) {
            mSpeeds.onStarted(target, pending.mExchange, nowNanos);
        } else if (target != null) {
            target.mSpeed.onAbandoned(pending.mExchange);
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
        RegionScope regions = RegionScope.UNRESTRICTED;
        Optional<Reason> before = target.ineligibilityReason(regions, nowNanos);
        target.onNotice(notice, nowNanos);
        Optional<Reason> after = target.ineligibilityReason(regions, nowNanos);
        if (notice.pauseNanos() > 0) {
            target.mSpeed.onReturned(target.pausedUntilNanos());
        }
        boolean changed = !after.equals(before);
        if (changed || notice.pauseNanos() > 0) {
            mOut.log(
                    LogLine.of("target_noticed")
                            .with("target", pending.mTargetId)
                            .with("request", pending.mRequest.id())
                            .with("leaving", notice.leaving())
                            .with("pause_ms", notice.pauseNanos() / 1_000_000)
                            .with("before", before.map(Reason::name).orElse("NONE"))
                            .with("after", after.map(Reason::name).orElse("NONE")));
        }
        if (changed) {
            mOut.effect(new GatewayEffect.WithdrawWaiting(target.record().address()));
        }
        return changed;
    }

    /**
     * Returns how long it takes until the first of the paused targets of a request's service
     * accepts requests again, if no other target that may run the request remains.
     */
    Optional<Long> remainingPauseNanos(PendingRequest pending, long nowNanos) {
        long earliest = Long.MAX_VALUE;
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            Reason why = target.ineligibilityReason(pending.mRegions, nowNanos).orElse(null);
            if (why == Reason.PAUSED) {
                earliest = Math.min(earliest, target.pausedUntilNanos());
            } else if (why != Reason.LEAVING && (why == null || !why.isSetByOperators())) {
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
        if (status == MISDIRECTED) {
            returnLimitToken(pending, true, nowNanos);
        }
        if (status == MISDIRECTED && !adapter.isEmpty()) {
            target.onAdapterAbsent(adapter, nowNanos);
        } else {
            target.avoidUntil(nowNanos + REJECTION_BACKOFF_NANOS, nowNanos);
        }
    }

    /**
     * Handles that the attempt of a request was withdrawn before it was sent. If its target still
     * takes the request, because the withdrawal concerned others, it may be chosen again.
     */
    void onWithdrawn(PendingRequest pending, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null && target.ineligibility(pending.mRegions, nowNanos).isEmpty()) {
            pending.mTriedTargetIds.remove(pending.mTargetId);
        }
    }

    /** Returns how many targets of a request's service operators have excluded, by reason. */
    Map<Reason, Integer> excludedByOperators(PendingRequest pending, long nowNanos) {
        Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            target.ineligibilityReason(pending.mRegions, nowNanos)
                    .filter(Reason::isSetByOperators)
                    .ifPresent(reason -> counts.merge(reason, 1, Integer::sum));
        }
        return counts;
    }

    /** Withdraws the attempts that still wait for a connection to some addresses. */
    void withdrawUnsent(Collection<String> addresses) {
        addresses.forEach(it -> mOut.effect(new GatewayEffect.WithdrawWaiting(it)));
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
     * Returns the token of the current attempt, which did not reach its target or does not count.
     *
     * @param arrived whether it has reached the target
     */
    void returnLimitToken(PendingRequest pending, boolean arrived, long nowNanos) {
        pending.mLimitToken.giveBack(arrived, nowNanos);
        pending.mLimitToken = LimitToken.NONE;
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
        pending.mTargetId = target.record().id();
        pending.mTargetIncarnation = target.record().incarnation();
        pending.mLimitVersion = mLimits.version(pending.mTargetIncarnation);
        pending.mTargetAddress = target.record().address();
        pending.mTargetLocality = target.record().locality();
        pending.mSentNanos = nowNanos;
        pending.mTriedTargetIds.add(pending.mTargetId);
        String cacheOwner = request.adapter().isEmpty() ? request.model() : request.adapter();
        long cached = target.promptCache().cachedTokens(cacheOwner, request.promptParts());
        pending.mPrefillTokens = Math.max(0, request.promptTokens() - cached);
        mSpillover.ifPresent(it -> it.onSent(target, pending));
        long predicted = mSpeeds.onSent(target, pending, (long) mMeanPrefillTokens, nowNanos);
        pending.mLimitToken =
                target.limit().map(it -> it.withdraw(nowNanos)).orElse(LimitToken.NONE);
        target.onSent(request.adapter(), pending.mPrefillTokens);
        mMeanPrefillTokens += MEAN_WEIGHT * (pending.mPrefillTokens - mMeanPrefillTokens);
        target.promptCache().onPromptSent(cacheOwner, request.promptParts());
        LogLine line =
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
                        .with("left_ms", remainingNanos / 1_000_000);
        target.limit().ifPresent(it -> logLimit(line, pending, it, nowNanos));
        mOut.log(mSpeeds.describe(target, predicted, line, nowNanos));
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
                                remainingNanos,
                                maxConnectNanos(pending))));
    }

    /** Returns what leaves for other data centres, for diagnostics. */
    Map<String, Object> spillover() {
        return mSpillover.map(SpilloverCosts::dump).orElse(Map.of());
    }

    TargetSpeeds speeds() {
        return mSpeeds;
    }

    /**
     * Adds the limit of the chosen target to a line, and how many limited ones were passed over.
     */
    private void logLimit(
            LogLine line, PendingRequest pending, LimitedTarget limit, long nowNanos) {
        int cold = 0;
        int limited = 0;
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            if (target.isLimited(nowNanos) && !target.record().id().equals(pending.mTargetId)) {
                Reason why = target.ineligibilityReason(pending.mRegions, nowNanos).orElse(null);
                cold += why == Reason.COLD ? 1 : 0;
                limited += why == Reason.LIMITED ? 1 : 0;
            }
        }
        if (cold > 0) {
            line.with("cold_passed", cold);
        }
        if (limited > 0) {
            line.with("limited_passed", limited);
        }
        if (pending.mLimitToken != LimitToken.NONE) {
            line.withAll(limit.logFields(nowNanos));
        }
    }

    /**
     * Returns the longest time that the current attempt may wait for a connection: one that is
     * charged to a limit or budget has to arrive soon after.
     */
    static long maxConnectNanos(PendingRequest pending) {
        if (pending.mLimitToken != LimitToken.NONE) {
            return LimitedTarget.MAX_CONNECT_NANOS;
        }
        return pending.mRetryCharged
                ? FleetRetryBudgets.MAX_CONNECT_NANOS
                : AttemptTerms.UNTIL_DEADLINE;
    }

    /** Returns this entry's part of the connections that a target of a service accepts. */
    private int maxConnections(String service) {
        int accepted = mOperator.service(service).map(GatewayService::maxConnections).orElse(1);
        return (int) Math.max(MIN_CONNECTIONS, accepted * CONNECTIONS_FRACTION / mFleet.entries());
    }
}
