package ebonygw.spillover;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Spillover of one service from the data centre of an entry to another one.
 *
 * <p>The fraction of requests that may leave rises while they would complete sooner in the other
 * data centre, its distance and price included, and falls while they would not. It rises over
 * seconds, so that entries which see the same difference do not all move their load at once, and
 * falls faster. Of the requests, those with much work for each byte leave first. Not thread-safe.
 */
public final class Spillover {
    /** Time in which the fraction rises from 0 to 1 at the full rate: several load reports. */
    private static final double RISE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time in which it falls from 1 to 0: less, so that two data centres do not swap load. */
    private static final double FALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * How far the state of the fraction falls below 0: requests leave only after a saving that
     * lasted about a second. Less, and the load that another data centre has just sent here in
     * excess, by reports 150 ms old, goes back.
     */
    private static final double RESERVE = 0.25;

    /** Saving at which the fraction rises at the full rate: a fraction of the local time. */
    private static final double FULL_RATE_SAVING = 0.5;

    /** Longest time between two requests that changes the fraction; longer ones are gaps. */
    private static final double MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Fraction below which no request leaves. */
    private static final double MIN_FRACTION = 0.01;

    /** Step of the threshold of work for each byte, as a fraction of it, for each request. */
    private static final double THRESHOLD_STEP = 0.1;

    /** Span of traffic that may be sent at once, in seconds. */
    private static final double CAP_BURST_SECONDS = 1;

    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpilloverOptions mOptions;
    private final long mNetworkNanos;
    private final boolean mSameRegion;
    private double mState = -RESERVE;
    private double mThreshold;
    private long mDecidedNanos = Long.MIN_VALUE;
    private double mCapBytes;
    private long mCapNanos = Long.MIN_VALUE;
    private long mLeft;
    private long mCapped;

    /**
     * Creates the state of a data centre to which nothing leaves yet.
     *
     * @param networkNanos round trip to the other data centre
     * @param sameRegion whether it is in the entry's region
     */
    public Spillover(SpilloverOptions options, long networkNanos, boolean sameRegion) {
        mOptions = options;
        mNetworkNanos = networkNanos;
        mSameRegion = sameRegion;
    }

    /** Returns the numbers for diagnostics. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("fraction", fraction());
        dump.put("left", mLeft);
        dump.put("capped", mCapped);
        return dump;
    }

    /** Returns the fraction of requests that may leave. */
    public double fraction() {
        return Math.max(0, mState);
    }

    /** Returns the cost of the distance for a request: the network and the price of its bytes. */
    public long costNanos(long bytes) {
        double price =
                mSameRegion
                        ? mOptions.dataCenterNanosPerMegabyte()
                        : mOptions.regionNanosPerMegabyte();
        return mNetworkNanos + (long) (price * bytes / BYTES_PER_MEGABYTE);
    }

    /**
     * Decides whether a request may leave.
     *
     * @param local the entry's data centre
     * @param other the other data centre
     * @param bytes expected bytes of the request and its response, positive
     */
    public boolean mayLeave(Side local, Side other, long bytes, long nowNanos) {
        if (!other.canRun()) {
            return false;
        }
        if (!local.canRun()) {
            return true;
        }
        double saving = (double) local.completionNanos() - other.completionNanos();
        saving -= costNanos(bytes);
        boolean pays = saving > 0 && other.fresh() && !other.full();
        adapt(pays, saving / Math.max(1, local.completionNanos()), nowNanos);
        double workPerByte = (double) local.completionNanos() / bytes;
        boolean first = workPerByte >= mThreshold;
        // Moves the threshold to the quantile above which the fraction of all requests lies.
        double fraction = Math.max(MIN_FRACTION, mState);
        mThreshold =
                mThreshold == 0
                        ? workPerByte
                        : mThreshold * (1 + THRESHOLD_STEP * ((first ? 1 : 0) - fraction));
        return pays && first && mState >= MIN_FRACTION;
    }

    /**
     * Returns whether the cap admits a request, which {@link #onSent} then charges.
     *
     * @param entries number of entries that share the cap, 0 if that is not certain
     */
    public boolean withinCap(long bytes, int entries, long nowNanos) {
        if (mOptions.capBytesPerSecond() == 0) {
            return true;
        }
        if (entries < 1) {
            return false;
        }
        double rate = mOptions.capBytesPerSecond() / entries;
        double burst = rate * CAP_BURST_SECONDS;
        double elapsed =
                mCapNanos == Long.MIN_VALUE ? 0 : (nowNanos - mCapNanos) / NANOS_PER_SECOND;
        // A new entry starts with nothing, so that restarts send no additional bursts.
        mCapBytes = Math.min(burst, mCapBytes + rate * elapsed);
        mCapNanos = nowNanos;
        // A request larger than the burst is let through when nothing is owed, and owes the rest.
        return mCapBytes >= Math.min(bytes, burst);
    }

    /** Counts a request that the cap kept in the local data centre. */
    public void onCapped() {
        mCapped++;
    }

    /** Charges bytes beyond those expected, or refunds if negative. */
    public void onBytes(long bytes) {
        mCapBytes -= bytes;
    }

    /** Charges the expected bytes of a request that is sent to the other data centre. */
    public void onSent(long bytes) {
        mLeft++;
        mCapBytes -= bytes;
    }

    private void adapt(boolean pays, double relativeSaving, long nowNanos) {
        double elapsed =
                mDecidedNanos == Long.MIN_VALUE
                        ? 0
                        : Math.min(MAX_STEP_NANOS, nowNanos - mDecidedNanos);
        mDecidedNanos = nowNanos;
        if (pays) {
            double rate = Math.min(1, relativeSaving / FULL_RATE_SAVING);
            mState = Math.min(1, mState + rate * elapsed / RISE_NANOS);
        } else {
            mState = Math.max(-RESERVE, mState - elapsed / FALL_NANOS);
        }
    }
}
