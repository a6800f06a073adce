package ebonygw.gateway;

import java.util.HashSet;
import java.util.Set;

/** A request that an entry has taken and not ended. Not thread-safe. */
final class GatewayCall {
    final long mExchange;
    final GatewayRequest mRequest;
    final GatewayRoute mRoute;
    final String mService;
    final String mCustomer;
    final int mPriority;
    final long mCharge;
    final long mArrivedNanos;
    final long mDeadlineNanos;
    final Set<String> mTried = new HashSet<>();
    int mAttempts;
    int mRuns;
    boolean mCharged;
    boolean mMayHaveRun;
    boolean mStarted;
    boolean mHeld;
    String mTargetId = "";
    long mUnstartedTokens;
    String mAwaitedTargetId = "";
    boolean mAwaitedPunctually;
    long mStartedNanos;

    GatewayCall(
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
        long wait = request.waitNanos();
        mDeadlineNanos =
                nowNanos + (wait > 0 ? Math.min(wait, route.timeoutNanos()) : route.timeoutNanos());
    }

    /** Returns whether an attempt that starts after a time would start within its objective. */
    boolean isPunctual(long startNanos, long nowNanos) {
        return nowNanos + startNanos - mArrivedNanos <= mRoute.objectiveNanos();
    }

    /** Returns whether it waits for its adapter to be loaded. */
    boolean isWaiting() {
        return !mAwaitedTargetId.isEmpty();
    }

    /** Returns whether a request that may have run may be sent again. */
    boolean mayRepeat() {
        return mRoute.mayRepeat() || mRoute.resumable();
    }
}
