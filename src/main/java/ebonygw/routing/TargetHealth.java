package ebonygw.routing;

/**
 * Ejects a target after consecutive failures and ramps its capacity up again afterwards.
 *
 * <p>Each further ejection takes twice as long, up to a maximum, until the target has succeeded at
 * full capacity. Not thread-safe.
 */
public final class TargetHealth {
    private static final double MIN_CAPACITY_FRACTION = 0.1;

    private final RouterOptions mOptions;
    private int mConsecutiveFailures;
    private int mEjections;
    private long mEjectedSinceNanos = Long.MIN_VALUE;
    private long mEjectedUntilNanos = Long.MIN_VALUE;
    private long mRampUpStartNanos = Long.MIN_VALUE;

    /**
     * Creates the health of a target that has not failed.
     *
     * @param options bounds of failures, ejection and ramp-up
     */
    public TargetHealth(RouterOptions options) {
        mOptions = options;
    }

    /** Returns the fraction of the target's concurrency that may be used, above 0 and at most 1. */
    public double capacityFraction(long nowNanos) {
        if (mRampUpStartNanos == Long.MIN_VALUE) {
            return 1;
        }
        double fraction = (double) (nowNanos - mRampUpStartNanos) / mOptions.rampUpNanos();
        if (fraction >= 1) {
            mRampUpStartNanos = Long.MIN_VALUE;
            return 1;
        }
        return Math.max(MIN_CAPACITY_FRACTION, fraction);
    }

    /** Returns when the latest ejection began, {@link Long#MIN_VALUE} if there was none. */
    public long ejectedSinceNanos() {
        return mEjectedSinceNanos;
    }

    /** Returns when the latest ejection ends, {@link Long#MIN_VALUE} if there was none. */
    public long ejectedUntilNanos() {
        return mEjectedUntilNanos;
    }

    /** Returns whether the target is ejected and must get no work. */
    public boolean isEjected(long nowNanos) {
        return nowNanos < mEjectedUntilNanos;
    }

    /** Starts a ramp-up without an ejection, for a target that was restarted. */
    public void onColdStart(long nowNanos) {
        mRampUpStartNanos = nowNanos;
    }

    /** Records a failure, which may eject the target. */
    public void onFailure(long nowNanos) {
        mConsecutiveFailures++;
        if (mConsecutiveFailures < mOptions.failuresToEject() || isEjected(nowNanos)) {
            return;
        }
        long duration = mOptions.ejectionNanos() << Math.min(mEjections, 16);
        mEjectedSinceNanos = nowNanos;
        mEjectedUntilNanos = nowNanos + Math.min(duration, mOptions.maxEjectionNanos());
        mRampUpStartNanos = mEjectedUntilNanos;
        mEjections++;
        // A single further failure ejects the target again.
        mConsecutiveFailures = mOptions.failuresToEject() - 1;
    }

    /** Records a success, which resets the count of consecutive failures. */
    public void onSuccess(long nowNanos) {
        mConsecutiveFailures = 0;
        if (capacityFraction(nowNanos) >= 1) {
            mEjections = 0;
        }
    }
}
