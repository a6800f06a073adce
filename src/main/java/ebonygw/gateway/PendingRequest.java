package ebonygw.gateway;

import ebonygw.http.BodySummary;
import java.util.HashSet;
import java.util.Set;

/** State of a request that an entry has admitted and not ended yet. Not thread-safe. */
final class PendingRequest {
    final long mExchange;
    final GatewayRequest mRequest;
    final GatewayRoute mRoute;
    final String mService;
    final String mCustomer;
    final int mPriority;

    /** Tokens charged to the customer. */
    final long mCharge;

    final long mArrivedNanos;
    final long mDeadlineNanos;

    /** Targets that the request has been sent to. */
    final Set<String> mTriedTargetIds = new HashSet<>();

    int mAttempts;

    /** Number of attempts that may have run the request. */
    int mPossibleRuns;

    /** Whether the customer has been charged. */
    boolean mCharged;

    /** Whether any attempt may have run the request. */
    boolean mMayHaveRun;

    /** Whether a response is being passed on to the caller. */
    boolean mStarted;

    /** Whether the failure response of the last attempt is held back, to be relayed if needed. */
    boolean mResponseHeld;

    /** Target of the current attempt, empty between attempts. */
    String mTargetId = "";

    /** Incarnation of that target when the request was sent. */
    String mTargetIncarnation = "";

    /** Prompt tokens that the current target still has to prefill, 0 once it responds. */
    long mPrefillTokens;

    /** Target at which the request waits for its adapter, empty if it does not wait. */
    String mAwaitedTargetId = "";

    /** Whether the wait was last reported as able to meet the latency objective. */
    boolean mAwaitedWithinObjective;

    /** When the current or last attempt was sent. */
    long mSentNanos;

    long mStartedNanos;

    /** Whether the response has counted as one that its target survived. */
    boolean mSurvived;

    /** Body of the response that was passed on to the caller, null before its end. */
    BodySummary mBody;

    PendingRequest(
            long exchange,
            GatewayRequest request,
            GatewayRoute route,
            String service,
            String customer,
            int priority,
            long charge,
            long nowNanos) {
        mExchange = exchange;
        mRequest = request;
        mRoute = route;
        mService = service;
        mCustomer = customer;
        mPriority = priority;
        mCharge = charge;
        mArrivedNanos = nowNanos;
        long callerTimeout = request.callerTimeoutNanos();
        mDeadlineNanos =
                nowNanos
                        + (callerTimeout > 0
                                ? Math.min(callerTimeout, route.timeoutNanos())
                                : route.timeoutNanos());
    }

    /** Returns whether a response that starts after a delay would meet the latency objective. */
    boolean canMeetObjective(long delayNanos, long nowNanos) {
        return nowNanos + delayNanos - mArrivedNanos <= mRoute.objectiveNanos();
    }

    /** Returns whether the request may be sent again although it may have run. */
    boolean isRepeatable() {
        return mRoute.isIdempotent() || mRoute.resumable();
    }

    /**
     * Returns the time left until the latency objective, or until the deadline if the objective is
     * missed; not negative.
     */
    long remainingNanos(long nowNanos) {
        long toObjective = mArrivedNanos + mRoute.objectiveNanos() - nowNanos;
        return toObjective > 0 ? toObjective : Math.max(0, mDeadlineNanos - nowNanos);
    }

    /** Returns whether the request waits for its adapter to be loaded. */
    boolean isWaiting() {
        return !mAwaitedTargetId.isEmpty();
    }
}
