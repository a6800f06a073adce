package ebonygw.targetlimit;

import ebonygw.log.LogLine;
import java.util.concurrent.TimeUnit;

/**
 * Until when a target is cold, by its registration.
 *
 * <p>Not thread-safe.
 */
final class ColdState {
    /** Maximum time that a registration may state; a longer one is implausible. */
    static final long MAX_REMAINING_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final TargetLimits mLimits;
    private final String mId;
    private String mService = "";
    private long mStartedAtMillis;
    private boolean mRegistered;
    private boolean mMalformed;
    private boolean mCapped;

    /** Whether it counts as cold from its registration for the time set for its service. */
    private boolean mAssumed;

    private long mReceivedNanos;
    private long mRemainingNanos;
    private ColdLimit mLimit = ColdLimit.NONE;
    private boolean mLoggedCold;

    ColdState(TargetLimits limits, String id) {
        mLimits = limits;
        mId = id;
    }

    boolean isAssumed() {
        return mAssumed;
    }

    boolean isCold(long nowNanos) {
        return mLimit.isSet() && mRegistered && nowNanos < untilNanos();
    }

    /** Returns the number of requests that the target may get in any second while it is cold. */
    double perSecond() {
        return mLimits.coldPerSecond(mLimit);
    }

    /** Returns when the registration by which the target is cold was received. */
    long receivedNanos() {
        return mReceivedNanos;
    }

    long remainingMillis(long nowNanos) {
        return isCold(nowNanos) ? (untilNanos() - nowNanos) / 1_000_000 : 0;
    }

    /** Returns when the target is warm by its last registration. */
    long untilNanos() {
        return mReceivedNanos + (mAssumed ? mLimit.startNanos() : mRemainingNanos);
    }

    /** Applies a registration. */
    void onRegistration(TargetRegistration registration, long nowNanos) {
        ColdRemaining remaining = registration.remaining();
        boolean first = !mRegistered || registration.startedAtMillis() != mStartedAtMillis;
        mRegistered = true;
        mService = registration.service();
        mStartedAtMillis = registration.startedAtMillis();
        boolean given = remaining.kind() == ColdRemaining.Kind.GIVEN;
        if (given || first) {
            mAssumed = !given;
            mReceivedNanos = nowNanos;
            mRemainingNanos = Math.min(remaining.nanos(), MAX_REMAINING_NANOS);
        }
        report(remaining);
    }

    /** Applies the limit of the service; returns whether the target has become cold. */
    boolean refresh(long nowNanos) {
        mLimit = mLimits.coldLimit(mService);
        boolean cold = isCold(nowNanos);
        if (cold == mLoggedCold) {
            return false;
        }
        mLoggedCold = cold;
        mLimits.log(
                LogLine.of(cold ? "target_cold" : "target_warm")
                        .with("target", mId)
                        .with("service", mService)
                        .with("remaining_ms", remainingMillis(nowNanos))
                        .with("assumed", mAssumed)
                        .with("age_ms", (nowNanos - mReceivedNanos) / 1_000_000));
        return cold;
    }

    /** Counts a time that is malformed or too long, and logs the first of several in a row. */
    private void report(ColdRemaining remaining) {
        boolean malformed = remaining.kind() == ColdRemaining.Kind.MALFORMED;
        boolean capped = remaining.nanos() > MAX_REMAINING_NANOS;
        if (malformed) {
            mLimits.count("timesMalformed");
        }
        if (capped) {
            mLimits.count("timesCapped");
        }
        if (malformed && !mMalformed) {
            mLimits.log(
                    LogLine.of("cold_time_malformed")
                            .with("target", mId)
                            .with("assumed", mAssumed));
        }
        if (capped && !mCapped) {
            mLimits.log(
                    LogLine.of("cold_time_capped")
                            .with("target", mId)
                            .with("remaining_ms", remaining.nanos() / 1_000_000)
                            .with("used_ms", MAX_REMAINING_NANOS / 1_000_000));
        }
        mMalformed = malformed;
        mCapped = capped;
    }
}
