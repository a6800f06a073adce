package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.overload.HeldRequest;
import ebonygw.overload.LoadShedder;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Connects an entry's {@link LoadShedder} with its targets: what a request counts as, which plain
 * targets have room, and how long a request may wait.
 *
 * <p>Not thread-safe.
 */
final class HeldRequests {
    /** Wait assumed for a request while the capacity has not been measured. */
    private static final long UNMEASURED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LoadShedder mShedder;
    private final TargetTable mTargets;
    private final GatewayOutbox mOut;

    HeldRequests(long seed, TargetTable targets, GatewayOutbox out) {
        mShedder = new LoadShedder(seed);
        mTargets = targets;
        mOut = out;
    }

    /**
     * Returns whether a request without a usable target may be held: an untried target of its
     * service has no room, or rejected a request a moment ago.
     */
    boolean mayWait(PendingRequest pending, long nowNanos) {
        boolean plain = pending.mRequest.model().isEmpty();
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            GatewayTarget.Unavailability why = target.unavailability(nowNanos);
            if (!pending.mTriedTargetIds.contains(target.record().id())
                    && (why == GatewayTarget.Unavailability.REJECTED
                            || plain && why == GatewayTarget.Unavailability.NONE)) {
                return true;
            }
        }
        return false;
    }

    Map<String, Object> dump(long nowNanos) {
        return mShedder.dump(nowNanos);
    }

    /** Returns the targets that a request must not be sent to: those tried and those full. */
    Set<String> excluded(PendingRequest pending, long nowNanos) {
        if (!pending.mRequest.model().isEmpty()) {
            return pending.mTriedTargetIds;
        }
        Set<String> excluded = new HashSet<>(pending.mTriedTargetIds);
        for (GatewayTarget target : mTargets.ofService(pending.mService)) {
            if (!hasRoom(target, nowNanos)) {
                excluded.add(target.record().id());
            }
        }
        return excluded;
    }

    /** Returns the exchange that is released next for a service, -1 if none is held. */
    long first(String service) {
        return mShedder.first(service).map(HeldRequest::exchange).orElse(-1L);
    }

    /** Returns the held exchanges that pass a filter, in the order of their release. */
    List<Long> inOrder(LongPredicate exchanges) {
        return mShedder.inOrder(held -> exchanges.test(held.exchange())).stream()
                .map(HeldRequest::exchange)
                .toList();
    }

    /** Returns whether any usable target of a plain service has room. */
    boolean hasRoom(String service, long nowNanos) {
        for (GatewayTarget target : mTargets.ofService(service)) {
            if (hasRoom(target, nowNanos) && target.isUsable(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** Holds a request; does nothing if it is held already. */
    void hold(PendingRequest pending, String why, long nowNanos) {
        if (isHeld(pending)) {
            return;
        }
        HeldRequest request = held(pending);
        OptionalLong wait = mShedder.predictedWaitNanos(request, nowNanos);
        mShedder.hold(request);
        mOut.log(
                LogLine.of("request_held")
                        .with("request", pending.mRequest.id())
                        .with("why", why)
                        .with("service", pending.mService)
                        .with("customer", pending.mCustomer)
                        .with("priority", pending.mPriority)
                        .with("held", mShedder.size(pending.mService))
                        .with("wait_ms", wait.isPresent() ? wait.getAsLong() / 1_000_000 : -1)
                        .with("left_ms", (pending.mDeadlineNanos - nowNanos) / 1_000_000));
    }

    boolean isHeld(PendingRequest pending) {
        return mShedder.isHeld(pending.mExchange);
    }

    /** Returns whether requests of a service are held. */
    boolean isQueued(String service) {
        return mShedder.size(service) > 0;
    }

    /** Applies whether held requests of a service wait for capacity. */
    void onBacklog(String service, boolean backlogged, long nowNanos) {
        mShedder.onBacklog(service, backlogged, nowNanos);
    }

    /** Handles that the target of a request rejected it. */
    void onRejected(PendingRequest pending, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null && pending.mRequest.model().isEmpty()) {
            mShedder.onRejected(pending.mTargetId, target.slots(), nowNanos);
        }
    }

    /** Handles the end of a complete response, before the attempt is ended. */
    void onResponse(PendingRequest pending, long nowNanos) {
        GatewayTarget target = mTargets.get(pending.mTargetId);
        if (target != null && pending.mRequest.model().isEmpty()) {
            mShedder.onResponse(
                    pending.mTargetId,
                    target.slots(),
                    nowNanos - pending.mSentNanos,
                    pending.mRoute.objectiveNanos(),
                    target.outstanding(),
                    nowNanos);
        }
    }

    /** Discards the state of targets that are gone. */
    void onTick() {
        mShedder.retainTargets(id -> mTargets.get(id) != null);
    }

    /**
     * Returns the exchange of the request to be refused because a bound is exceeded, -1 if none.
     */
    long overflow() {
        return mShedder.overflow().map(HeldRequest::exchange).orElse(-1L);
    }

    /** Returns the held exchanges that pass a filter, in no particular order. */
    List<Long> select(LongPredicate exchanges) {
        return mShedder.select(held -> exchanges.test(held.exchange())).stream()
                .map(HeldRequest::exchange)
                .toList();
    }

    /** Returns the services that requests were held for. */
    Set<String> services() {
        return mShedder.services();
    }

    /** Stops holding a request that has ended. */
    void remove(PendingRequest pending) {
        mShedder.remove(pending.mExchange);
    }

    /** Stops holding a request that was sent. */
    void release(PendingRequest pending, long nowNanos) {
        mShedder.release(pending.mExchange, nowNanos);
    }

    /**
     * Returns the delay after which a refused caller should retry.
     *
     * @param minNanos time before which no capacity can be expected, 0 if not known
     */
    long retryNanos(PendingRequest pending, long minNanos, long nowNanos) {
        long wait =
                mShedder.predictedWaitNanos(held(pending), nowNanos).orElse(UNMEASURED_WAIT_NANOS);
        return mShedder.retryNanos(Math.max(minNanos, wait), pending.mDeadlineNanos - nowNanos);
    }

    /**
     * Returns the predicted wait of a request that is not held if it exceeds the time left until
     * its deadline, 0 otherwise.
     */
    long excessiveWaitNanos(PendingRequest pending, long nowNanos) {
        if (isHeld(pending)) {
            return 0;
        }
        long wait = mShedder.predictedWaitNanos(held(pending), nowNanos).orElse(0);
        return wait > pending.mDeadlineNanos - nowNanos ? wait : 0;
    }

    private boolean hasRoom(GatewayTarget target, long nowNanos) {
        return mShedder.hasRoom(
                target.record().id(), target.slots(), target.outstanding(), target.load(nowNanos));
    }

    private static HeldRequest held(PendingRequest pending) {
        boolean plain = pending.mRequest.model().isEmpty();
        return new HeldRequest(
                pending.mExchange,
                pending.mService,
                pending.mCustomer,
                pending.mPriority,
                plain ? 1 : Math.max(1, pending.mRequest.charge(1)),
                pending.mRequest.body().size(),
                pending.mDeadlineNanos);
    }
}
