package ebonygw.gateway;

import ebonygw.eligibility.RegionScope;
import ebonygw.http.BodySummary;
import ebonygw.protocol.Locality;
import ebonygw.targetlimit.LimitToken;
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

    /** Where it may run by the newest configuration in force. */
    RegionScope mRegions = RegionScope.UNRESTRICTED;

    int mAttempts;

    /** Number of attempts that may have run the request. */
    int mPossibleRuns;

    /** Whether the customer has been charged. */
    boolean mCharged;

    /** Whether any attempt may have run the request. */
    boolean mMayHaveRun;

    /** Whether the next attempt is a retry, to be charged to the budget when it is sent. */
    boolean mRetryDue;

    /** Whether the current attempt has been charged to the retry budget. */
    boolean mRetryCharged;

    /** Whether a response is being passed on to the caller. */
    boolean mStarted;

    /**
     * Whether the failure response of the last attempt is held back, to be relayed if needed: one
     * of a request that may have run, with a status that does not deny that.
     */
    boolean mResponseHeld;

    /** Target of the current attempt, empty between attempts. */
    String mTargetId = "";

    /** Incarnation of that target when the request was sent. */
    String mTargetIncarnation = "";

    /** Address of that target when the request was sent; its registration may be gone since. */
    String mTargetAddress = "";

    /** Where that target ran when the request was sent, null before the first attempt. */
    Locality mTargetLocality;

    /** When the current attempt was sent or began to wait for a connection. */
    long mSentNanos;

    /** Version of the target's limit that was known when the current attempt was sent. */
    long mLimitVersion;

    /** Token of the current attempt if its target is limited. */
    LimitToken mLimitToken = LimitToken.NONE;

    /** Prompt tokens that the current target still has to prefill, 0 once it responds. */
    long mPrefillTokens;

    /** Expected bytes of the current attempt to another data centre, 0 within this one. */
    long mSpilloverBytes;

    /** Target at which the request waits for its adapter, empty if it does not wait. */
    String mAwaitedTargetId = "";

    /** Whether the wait was last reported as able to meet the latency objective. */
    boolean mAwaitedWithinObjective;

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

    /** Returns whether an attempt is under way that has no response yet. */
    boolean isUnanswered() {
        return !mTargetId.isEmpty() && !mStarted;
    }

    /** Returns whether the request waits for its adapter to be loaded. */
    boolean isWaiting() {
        return !mAwaitedTargetId.isEmpty();
    }
}
