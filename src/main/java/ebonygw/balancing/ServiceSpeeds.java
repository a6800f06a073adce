package ebonygw.balancing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * What the targets of one service have in common: the prior of their models, the nominal time, and
 * the error of the predictions. Not thread-safe.
 */
public final class ServiceSpeeds {
    /** Weight of the newest value in moving averages: the last few dozen completions count. */
    private static final double MEAN_WEIGHT = 0.05;

    private static final double NANOS_PER_MILLI = 1e6;

    private final BalancingOptions mOptions;
    private final NominalTime mNominal = new NominalTime();
    private TargetSpeed.Prior mPrior = TargetSpeed.Prior.NONE;
    private long mPriorNanos = Long.MIN_VALUE;
    private long mReportedNanos;
    private double mMeanPercent;
    private double mErrorNanos;
    private double mObservedNanos;
    private double mBiasNanos;
    private long mPredictions;
    private long mInvalidReports;

    /** Creates the state of a service of which a target has reported a number. */
    public ServiceSpeeds(BalancingOptions options, int percent, long nowNanos) {
        mOptions = options;
        mMeanPercent = percent;
        mReportedNanos = nowNanos;
    }

    /** Returns the numbers for diagnostics. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("enabled", isEnabled(nowNanos) ? 1 : 0);
        dump.put("medianFactor", mPrior.factor());
        dump.put("meanWorkPercent", mMeanPercent);
        dump.put("idleCoefficient", mNominal.coefficient(0));
        dump.put("tokenCoefficient", mNominal.coefficient(1));
        dump.put("loadCoefficient", mNominal.coefficient(2));
        dump.put("predictions", mPredictions);
        dump.put("predictionErrorMillis", mErrorNanos / NANOS_PER_MILLI);
        dump.put("predictionBiasMillis", mBiasNanos / NANOS_PER_MILLI);
        dump.put("observedMillis", mObservedNanos / NANOS_PER_MILLI);
        dump.put("invalidWorkPercent", mInvalidReports);
        return dump;
    }

    /** Returns whether targets of the service have reported recently how long work takes. */
    public boolean isEnabled(long nowNanos) {
        return nowNanos - mReportedNanos <= mOptions.enabledNanos();
    }

    /** Returns the time to the first event at a typical target. */
    public NominalTime nominal() {
        return mNominal;
    }

    /** Returns the prior of the models of the service's targets. */
    public TargetSpeed.Prior prior() {
        return mPrior;
    }

    /** Counts a report that was malformed or out of range. */
    public void onInvalidReport() {
        mInvalidReports++;
    }

    /** Records what came of a prediction, and learns from it. */
    public void onPrediction(TargetSpeed.Prediction prediction) {
        mNominal.learn(prediction.parts(), prediction.clippedNanos() / prediction.factor());
        double error = prediction.observedNanos() - prediction.predictedNanos();
        double weight = Math.max(MEAN_WEIGHT, 1.0 / ++mPredictions);
        mErrorNanos += weight * (Math.abs(error) - mErrorNanos);
        mBiasNanos += weight * (error - mBiasNanos);
        mObservedNanos += weight * (prediction.observedNanos() - mObservedNanos);
    }

    /** Applies a valid number that a target of the service reported. */
    public void onReport(int percent, long nowNanos) {
        mReportedNanos = nowNanos;
        mMeanPercent += MEAN_WEIGHT * (percent - mMeanPercent);
    }

    /** Computes the prior from the models of all targets of the service if it is due. */
    public void refresh(Supplier<Stream<TargetSpeed>> targets, long nowNanos) {
        if (mPriorNanos != Long.MIN_VALUE && nowNanos - mPriorNanos < mOptions.priorNanos()) {
            return;
        }
        mPriorNanos = nowNanos;
        double[] factors =
                targets.get()
                        .filter(it -> it.weight(nowNanos) >= mOptions.priorWeight() / 2)
                        .mapToDouble(it -> it.learntFactor(mPrior, nowNanos))
                        .toArray();
        Arrays.sort(factors);
        double median = factors.length == 0 ? mPrior.factor() : factors[factors.length / 2];
        mPrior = new TargetSpeed.Prior(median, mMeanPercent);
    }
}
