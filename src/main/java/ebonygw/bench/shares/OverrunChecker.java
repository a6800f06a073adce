package ebonygw.bench.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks that the tokens charged to one customer over the whole fleet keep to its rate and burst.
 *
 * <p>In no interval may the charges exceed burst plus rate times the interval's length. The checker
 * finds the interval with the largest excess from prefix sums over the true time, and uses no code
 * of the classes that it checks. A charge counts with the tokens that it used, at the time of its
 * admission. After a change of the limits, the greater of the old and the new limit applies during
 * a grace period. Not thread-safe.
 */
public final class OverrunChecker {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mGraceSeconds;

    /** Charges, each as its time in seconds and its tokens. */
    private final List<double[]> mCharges = new ArrayList<>();

    /** Limits, each as its start in seconds, tokens per second and burst. */
    private final List<double[]> mLimits = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param graceNanos how long after a change a greater former limit still applies
     */
    public OverrunChecker(long graceNanos) {
        mGraceSeconds = graceNanos / NANOS_PER_SECOND;
    }

    /**
     * Records a charge.
     *
     * @param atNanos true time of the admission
     * @param tokens tokens that the request used
     */
    public void recordCharge(long atNanos, long tokens) {
        mCharges.add(new double[] {atNanos / NANOS_PER_SECOND, tokens});
    }

    /**
     * Records the limits that apply from a time on. Times must not decrease between invocations.
     *
     * @param fromNanos true time of the change
     * @param ratePerSecond tokens per second
     * @param burst maximum tokens at once
     */
    public void recordLimits(long fromNanos, long ratePerSecond, long burst) {
        mLimits.add(new double[] {fromNanos / NANOS_PER_SECOND, ratePerSecond, burst});
    }

    /**
     * Returns the largest number of tokens by which an interval exceeds its bound, 0 if none does.
     */
    public double worstExcess() {
        mCharges.sort(Comparator.comparingDouble(it -> it[0]));
        double maxExcess = 0;
        double sum = 0;
        double minSurplus = Double.POSITIVE_INFINITY;
        double minSurplusAt = 0;
        for (double[] charge : mCharges) {
            double surplus = sum - accrued(charge[0]);
            if (surplus < minSurplus) {
                minSurplus = surplus;
                minSurplusAt = charge[0];
            }
            sum += charge[1];
            double overRate = sum - accrued(charge[0]) - minSurplus;
            maxExcess = Math.max(maxExcess, overRate - maxBurst(minSurplusAt, charge[0]));
        }
        return maxExcess < 1e-3 ? 0 : maxExcess;
    }

    /** Returns the tokens that the rates allow from time 0 until a time, without the burst. */
    private double accrued(double until) {
        double sum = 0;
        double at = 0;
        List<Double> edges = new ArrayList<>();
        for (double[] limit : mLimits) {
            edges.add(limit[0]);
            edges.add(limit[0] + mGraceSeconds);
        }
        edges.sort(null);
        for (double edge : edges) {
            if (edge >= until) {
                break;
            }
            sum += (edge - at) * maxLimit(at - mGraceSeconds, at, 1);
            at = edge;
        }
        return sum + (until - at) * maxLimit(at - mGraceSeconds, at, 1);
    }

    private double maxBurst(double from, double until) {
        return maxLimit(from - mGraceSeconds, until, 2);
    }

    /** Returns the maximum of a field of all limits that apply at some time in an interval. */
    private double maxLimit(double from, double until, int field) {
        double max = 0;
        for (int i = 0; i < mLimits.size(); i++) {
            double starts = mLimits.get(i)[0];
            double ends = i + 1 < mLimits.size() ? mLimits.get(i + 1)[0] : Double.MAX_VALUE;
            if (starts <= until && ends > from) {
                max = Math.max(max, mLimits.get(i)[field]);
            }
        }
        return max;
    }
}
