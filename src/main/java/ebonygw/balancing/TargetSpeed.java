package ebonygw.balancing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Latency model of one target: the factor by which its work takes longer than the nominal time.
 *
 * <p>The factor is a decayed mean of the observed factors, each clipped relative to its prediction,
 * and returns to the median of the service as they age. A reported number scales it relative to the
 * mean of the numbers that were in effect at these observations, so that a number that is
 * constantly too high or too low has no effect. A response that is overdue raises it before it
 * arrives.
 *
 * <p>Not thread-safe.
 */
public final class TargetSpeed {
    /** Reported number of a target that works as usual. */
    private static final double USUAL_PERCENT = 100;

    private final BalancingOptions mOptions;

    /** Requests without a response yet, by exchange, oldest first. */
    private final Map<Long, Sent> mOpen = new LinkedHashMap<>();

    private Sent mOldest;
    private double mFactor = 1;
    private double mMeanPercent = USUAL_PERCENT;
    private double mWeight;
    private long mLearntNanos;
    private double mPercent = USUAL_PERCENT;
    private long mReportedNanos = Long.MIN_VALUE;
    private long mReturnedNanos = Long.MIN_VALUE;

    /** Creates the model of a target of which nothing is known. */
    public TargetSpeed(BalancingOptions options) {
        mOptions = options;
    }

    /**
     * What the completions of a service's targets have in common.
     *
     * @param factor median of the learnt factors
     * @param percent mean of the reported numbers
     */
    public record Prior(double factor, double percent) {
        /** Prior before any completion. */
        public static final Prior NONE = new Prior(1, USUAL_PERCENT);
    }

    /**
     * A prediction and what came of it.
     *
     * @param predictedNanos predicted time to the first event
     * @param observedNanos observed time to the first event
     * @param clippedNanos the observed time, clipped if it is far from the expected one
     * @param factor expected factor of the target
     * @param parts parts of the nominal time
     */
    public record Prediction(
            long predictedNanos,
            long observedNanos,
            double clippedNanos,
            double factor,
            NominalTime.Parts parts) {}

    private record Sent(
            long nanos,
            NominalTime.Parts parts,
            long nominalNanos,
            long predictedNanos,
            long networkNanos) {
        /** Returns the time that the target has spent on the request, at least 1. */
        long spentNanos(long nowNanos) {
            return Math.max(1, nowNanos - nanos - networkNanos);
        }
    }

    /** Returns the fraction of its work that the target gets, less than 1 after its return. */
    public double capacity(long nowNanos) {
        if (mReturnedNanos == Long.MIN_VALUE) {
            return 1;
        }
        double fraction = (double) (nowNanos - mReturnedNanos) / mOptions.slowStartNanos();
        return Math.max(mOptions.minCapacity(), Math.min(1, fraction));
    }

    /** Returns the factor by which work takes longer than its nominal time at this moment. */
    public double factor(Prior prior, long nowNanos) {
        double factor = expectedFactor(prior, nowNanos);
        if (mOldest != null) {
            double overdue = (double) mOldest.spentNanos(nowNanos) / mOldest.nominalNanos();
            factor = Math.max(factor, Math.min(overdue, factor * mOptions.maxOverdue()));
        }
        return factor;
    }

    /** Returns the factor without the effect of the newest report and of overdue responses. */
    public double learntFactor(Prior prior, long nowNanos) {
        double weight = weight(nowNanos);
        return (weight * mFactor + mOptions.priorWeight() * prior.factor())
                / (weight + mOptions.priorWeight());
    }

    /** Returns the last reported number, 100 if there was none. */
    public double percent() {
        return mPercent;
    }

    /** Returns the age of the last reported number, -1 if there was none. */
    public long reportAgeNanos(long nowNanos) {
        return mReportedNanos == Long.MIN_VALUE ? -1 : nowNanos - mReportedNanos;
    }

    /** Returns the number of recent completions that the learnt factor rests on. */
    public double weight(long nowNanos) {
        double halfLives = (double) Math.max(0, nowNanos - mLearntNanos) / mOptions.halfLifeNanos();
        // Equals 1/2 after one half-life; avoids a power in each of many evaluations of a choice.
        return mWeight / (1 + halfLives);
    }

    /**
     * Discards an attempt that ended without a response, such as a failure: its duration says
     * nothing about the speed of the target.
     */
    public void onAbandoned(long exchange) {
        remove(exchange);
    }

    /** Applies a valid number that the target reported. */
    public void onReport(int percent, long nowNanos) {
        mPercent = percent;
        mReportedNanos = nowNanos;
    }

    /** Handles that the target takes requests again from a time on. */
    public void onReturned(long nanos) {
        mReturnedNanos = Math.max(mReturnedNanos, nanos);
    }

    /**
     * Registers a request that is being sent.
     *
     * @param parts parts of its nominal time
     * @param nominalNanos time to the first event at a target with a factor of 1, positive
     * @param predictedNanos predicted time to the first event
     * @param networkNanos part of the time to the response that the network takes
     */
    public void onSent(
            long exchange,
            NominalTime.Parts parts,
            long nominalNanos,
            long predictedNanos,
            long networkNanos,
            long nowNanos) {
        mOpen.put(exchange, new Sent(nowNanos, parts, nominalNanos, predictedNanos, networkNanos));
        findOldest();
    }

    /**
     * Learns from the start of a successful response.
     *
     * @return the prediction, null if the request is not known
     */
    public Prediction onStarted(long exchange, Prior prior, long nowNanos) {
        double expected = expectedFactor(prior, nowNanos);
        Sent sent = remove(exchange);
        if (sent == null) {
            return null;
        }
        double observed = (double) sent.spentNanos(nowNanos) / sent.nominalNanos();
        double clipped =
                Math.max(
                        expected / mOptions.maxStep(),
                        Math.min(expected * mOptions.maxStep(), observed));
        double weight = weight(nowNanos);
        double mean = weight > 0 ? mMeanPercent : prior.percent();
        double percent = mean * reportRatio(mean, freshness(nowNanos));
        mFactor = (weight * mFactor + clipped) / (weight + 1);
        mMeanPercent = (weight * mMeanPercent + percent) / (weight + 1);
        mWeight = weight + 1;
        mLearntNanos = nowNanos;
        return new Prediction(
                sent.predictedNanos(),
                sent.spentNanos(nowNanos),
                clipped * sent.nominalNanos(),
                expected,
                sent.parts());
    }

    /** Returns the learnt factor, with the target's own part and the prior scaled by the report. */
    private double expectedFactor(Prior prior, long nowNanos) {
        double weight = weight(nowNanos);
        double freshness = freshness(nowNanos);
        double own = weight * mFactor * reportRatio(mMeanPercent, freshness);
        double ofPrior =
                mOptions.priorWeight() * prior.factor() * reportRatio(prior.percent(), freshness);
        return (own + ofPrior) / (weight + mOptions.priorWeight());
    }

    private void findOldest() {
        mOldest = mOpen.isEmpty() ? null : mOpen.values().iterator().next();
    }

    private Sent remove(long exchange) {
        Sent sent = mOpen.remove(exchange);
        findOldest();
        return sent;
    }

    /** Returns the weight of the newest report, which falls from 1 to 0 as the report ages. */
    private double freshness(long nowNanos) {
        if (mReportedNanos == Long.MIN_VALUE) {
            return 0;
        }
        double age = (double) (nowNanos - mReportedNanos) / mOptions.reportFadeNanos();
        return Math.max(0, 1 - age);
    }

    /**
     * Returns the effect of the newest report.
     *
     * @param meanPercent mean of the numbers to which the scaled factor belongs
     * @param freshness weight of the report
     */
    private double reportRatio(double meanPercent, double freshness) {
        return freshness == 0 ? 1 : 1 + freshness * (mPercent / meanPercent - 1);
    }
}
