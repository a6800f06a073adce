package ebonygw.overload;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Measures how fast held requests are released while there is a backlog, and predicts waits from
 * it.
 *
 * <p>Only time with a backlog counts: without one the rate of releases is that of arrivals, which
 * says nothing about the capacity. Not thread-safe.
 */
final class DrainRate {
    /** Half-life of the measurement: a few adapter loads of 250 ms. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Minimum measured time of a prediction: two adapter loads. */
    private static final long MIN_MEASURED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum time that one step counts, so that a frozen process does not measure the freeze. */
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Age after which a measurement is discarded: slots and customers have changed by then. */
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private boolean mBacklogged;
    private double mReleased;
    private double mNanos;
    private long mUpdatedNanos = Long.MIN_VALUE;
    private long mMeasuredNanos = Long.MIN_VALUE;

    /** Applies whether there is a backlog from now on. */
    void onBacklog(boolean backlogged, long nowNanos) {
        advance(nowNanos);
        mBacklogged = backlogged;
    }

    /** Counts a released request. */
    void onReleased(long nowNanos) {
        advance(nowNanos);
        mReleased += mBacklogged ? 1 : 0;
    }

    /**
     * Returns the released requests for each second of backlog, 0 if it was not measured recently.
     */
    double perSecond(long nowNanos) {
        return isMeasured(nowNanos) ? mReleased / mNanos * 1e9 : 0;
    }

    /**
     * Returns the predicted wait of a request. One release is assumed beyond those measured, so
     * that the wait is finite.
     *
     * @param ahead number of requests that are released before it
     * @return the wait, empty if the rate was not measured recently
     */
    OptionalLong waitNanos(double ahead, long nowNanos) {
        return isMeasured(nowNanos)
                ? OptionalLong.of((long) (ahead * mNanos / (mReleased + 1)))
                : OptionalLong.empty();
    }

    private void advance(long nowNanos) {
        if (mUpdatedNanos != Long.MIN_VALUE && mBacklogged) {
            if (nowNanos - mMeasuredNanos > MAX_AGE_NANOS) {
                mReleased = 0;
                mNanos = 0;
            }
            long step = Math.min(MAX_STEP_NANOS, nowNanos - mUpdatedNanos);
            double kept = Math.pow(0.5, step / HALF_LIFE_NANOS);
            mReleased *= kept;
            mNanos = mNanos * kept + step;
            mMeasuredNanos = nowNanos;
        }
        mUpdatedNanos = nowNanos;
    }

    private boolean isMeasured(long nowNanos) {
        return mNanos >= MIN_MEASURED_NANOS && nowNanos - mMeasuredNanos <= MAX_AGE_NANOS;
    }
}
