package ebonygw.bench.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks a fleet's log of charges of one customer against its rate and burst.
 *
 * <p>Shares no code with what it checks: it looks for the interval whose charges exceed burst plus
 * rate times interval most, by prefix sums in true time. A charge counts with what it used, at the
 * moment at which it was admitted. Where the settings change, the greater limit counts for a grace
 * time. Not thread-safe.
 */
public final class OverrunChecker {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mGraceSeconds;
    private final List<double[]> mCharges = new ArrayList<>();
    private final List<double[]> mLimits = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param graceNanos how long after a change a greater former limit may still be in use
     */
    public OverrunChecker(long graceNanos) {
        mGraceSeconds = graceNanos / NANOS_PER_SECOND;
    }

    /**
     * Logs a charge.
     *
     * @param atNanos true time of its admission
     * @param tokens tokens that it used
     */
    public void charge(long atNanos, long tokens) {
        mCharges.add(new double[] {atNanos / NANOS_PER_SECOND, tokens});
    }

    /**
     * Logs the limits from a moment on; the moments must not fall.
     *
     * @param fromNanos true time of the change
     * @param ratePerSecond tokens a second
     * @param burst tokens at once
     */
    public void limit(long fromNanos, long ratePerSecond, long burst) {
        mLimits.add(new double[] {fromNanos / NANOS_PER_SECOND, ratePerSecond, burst});
    }

    /** Returns by how many tokens the worst interval exceeds its bound, 0 if none does. */
    public double worstExcess() {
        mCharges.sort(Comparator.comparingDouble(it -> it[0]));
        double worst = 0;
        double sum = 0;
        double lowest = Double.POSITIVE_INFINITY;
        double lowestAt = 0;
        for (double[] charge : mCharges) {
            double line = sum - accrued(charge[0]);
            if (line < lowest) {
                lowest = line;
                lowestAt = charge[0];
            }
            sum += charge[1];
            double run = sum - accrued(charge[0]) - lowest;
            worst = Math.max(worst, run - burst(lowestAt, charge[0]));
        }
        return worst < 1e-3 ? 0 : worst;
    }

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
            sum += (edge - at) * most(at - mGraceSeconds, at, 1);
            at = edge;
        }
        return sum + (until - at) * most(at - mGraceSeconds, at, 1);
    }

    private double burst(double from, double until) {
        return most(from - mGraceSeconds, until, 2);
    }

    private double most(double from, double until, int field) {
        double most = 0;
        for (int i = 0; i < mLimits.size(); i++) {
            double starts = mLimits.get(i)[0];
            double ends = i + 1 < mLimits.size() ? mLimits.get(i + 1)[0] : Double.MAX_VALUE;
            if (starts <= until && ends > from) {
                most = Math.max(most, mLimits.get(i)[field]);
            }
        }
        return most;
    }
}
