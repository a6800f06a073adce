package ebonygw.routing;

/** Ejects a target that fails and lets it return slowly. Not thread-safe. */
public final class TargetHealth {
    private static final double LEAST_USE = 0.1;

    private final RouterOptions mOptions;
    private int mFailuresInRow;
    private int mEjections;
    private long mEjectedUntilNanos = Long.MIN_VALUE;
    private long mReturnFromNanos = Long.MIN_VALUE;

    /**
     * Creates the health of a target that has not failed.
     *
     * @param options when it is ejected and how it returns
     */
    public TargetHealth(RouterOptions options) {
        mOptions = options;
    }

    /** Returns whether no work is to go there. */
    public boolean isEjected(long nowNanos) {
        return nowNanos < mEjectedUntilNanos;
    }

    /** Starts a slow return, as after a cold start. */
    public void onColdStart(long nowNanos) {
        mReturnFromNanos = nowNanos;
    }

    /** Notes a failure. */
    public void onFailure(long nowNanos) {
        mFailuresInRow++;
        if (mFailuresInRow < mOptions.failuresToEject() || isEjected(nowNanos)) {
            return;
        }
        long length = mOptions.ejectNanos() << Math.min(mEjections, 16);
        mEjectedUntilNanos = nowNanos + Math.min(length, mOptions.maxEjectNanos());
        mReturnFromNanos = mEjectedUntilNanos;
        mEjections++;
        mFailuresInRow = mOptions.failuresToEject() - 1;
    }

    /** Notes a success, which ends a row of failures. */
    public void onSuccess(long nowNanos) {
        mFailuresInRow = 0;
        if (use(nowNanos) >= 1) {
            mEjections = 0;
        }
    }

    /** Returns the part of its concurrency that may be used now, above 0 and at most 1. */
    public double use(long nowNanos) {
        if (mReturnFromNanos == Long.MIN_VALUE) {
            return 1;
        }
        double returned = (double) (nowNanos - mReturnFromNanos) / mOptions.returnNanos();
        if (returned >= 1) {
            mReturnFromNanos = Long.MIN_VALUE;
            return 1;
        }
        return Math.max(LEAST_USE, returned);
    }
}
