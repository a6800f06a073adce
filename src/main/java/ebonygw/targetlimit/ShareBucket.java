package ebonygw.targetlimit;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket of one entry's share of the requests to a target.
 *
 * <p>That of a share starts empty, because another entry may have used the share a moment before.
 * Not thread-safe.
 */
final class ShareBucket {
    /**
     * Maximum time between two uses that adds tokens: three ticks of the control thread. In a
     * longer time the process was stopped, and requests that waited for a connection meanwhile are
     * sent when it continues.
     */
    static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private double mPerSecond;
    private double mBurst;
    private double mTokens;
    private long mLastNanos;

    /**
     * Creates a bucket.
     *
     * @param perSecond rate at which tokens are added
     * @param burst maximum number of tokens
     * @param tokens number of tokens that it starts with, negative if the first ones are withheld
     */
    ShareBucket(double perSecond, double burst, double tokens, long nowNanos) {
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = tokens;
        mLastNanos = nowNanos;
    }

    /** Returns a token of a request that did not count, soon after its withdrawal. */
    void giveBack() {
        mTokens = Math.min(mBurst, mTokens + 1);
    }

    /** Returns the maximum number of tokens. */
    double burst() {
        return mBurst;
    }

    /** Returns the rate at which tokens are added. */
    double perSecond() {
        return mPerSecond;
    }

    /** Changes the rate and the maximum number of tokens from now on. */
    void setLimit(double perSecond, double burst, long nowNanos) {
        tokens(nowNanos);
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = Math.min(burst, mTokens);
    }

    /** Returns the number of tokens; not positive after more withdrawals than tokens. */
    double tokens(long nowNanos) {
        long step = Math.max(0, Math.min(MAX_STEP_NANOS, nowNanos - mLastNanos));
        mLastNanos = nowNanos;
        mTokens = Math.min(mBurst, mTokens + mPerSecond * step / 1e9);
        return mTokens;
    }

    /** Withdraws the token of a request. */
    void withdraw(long nowNanos) {
        mTokens = tokens(nowNanos) - 1;
    }
}
