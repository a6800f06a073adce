package ebonygw.balancing;

/**
 * Time to the first event at a typical target of a service, as a sum of three parts: that of an
 * idle target, that of the uncached prompt tokens, and that of the load.
 *
 * <p>Each part is a constant times a coefficient that is fitted to the completions of all targets
 * by least squares, with old completions decayed. A ridge keeps a coefficient at 1 as long as the
 * completions say nothing about it. Not thread-safe.
 */
public final class NominalTime {
    private static final int PARTS = 3;

    /** Decay for each completion: the last few hundred completions of the service count. */
    private static final double DECAY = 0.995;

    /** Ridge relative to the diagonal, against parts that vary together. */
    private static final double RELATIVE_RIDGE = 0.05;

    /** Absolute ridge in squared ms: several completions of 50 ms count as much. */
    private static final double RIDGE = 10_000;

    /**
     * Minimum coefficient: a part that had no effect recently, such as load, may have one again.
     */
    private static final double MIN_COEFFICIENT = 0.1;

    /** Maximum coefficient, which bounds the effect of misleading completions. */
    private static final double MAX_COEFFICIENT = 20;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double[][] mProducts = new double[PARTS][PARTS];
    private final double[] mObserved = new double[PARTS];
    private final double[] mCoefficients = {1, 1, 1};

    /**
     * Parts of the time to the first event before the coefficients apply.
     *
     * @param idleNanos time at an idle target, positive
     * @param tokenNanos time for the tokens to prefill, not negative
     * @param loadNanos time due to the load, not negative
     */
    public record Parts(long idleNanos, long tokenNanos, long loadNanos) {}

    /** Returns the nominal time, positive. */
    public long nanos(Parts parts) {
        return Math.max(1, (long) (mCoefficients[0] * parts.idleNanos()) + waitNanos(parts));
    }

    /** Returns the nominal time that tokens and load add to that of an idle target. */
    public long waitNanos(Parts parts) {
        return (long)
                (mCoefficients[1] * parts.tokenNanos() + mCoefficients[2] * parts.loadNanos());
    }

    /** Returns the coefficient of a part: 0 for idle, 1 for tokens, 2 for load. */
    public double coefficient(int part) {
        return mCoefficients[part];
    }

    /**
     * Learns from a completion.
     *
     * @param parts parts of its nominal time
     * @param nanos observed time, divided by the factor of its target
     */
    public void learn(Parts parts, double nanos) {
        double[] x = {
            parts.idleNanos() / NANOS_PER_MILLI,
            parts.tokenNanos() / NANOS_PER_MILLI,
            parts.loadNanos() / NANOS_PER_MILLI
        };
        for (int i = 0; i < PARTS; i++) {
            for (int j = 0; j < PARTS; j++) {
                mProducts[i][j] = DECAY * mProducts[i][j] + x[i] * x[j];
            }
            mObserved[i] = DECAY * mObserved[i] + x[i] * nanos / NANOS_PER_MILLI;
        }
        solve();
    }

    /**
     * Improves the solution by one pass of coordinate descent, which respects the bounds and
     * converges over a few completions.
     */
    private void solve() {
        for (int i = 0; i < PARTS; i++) {
            double ridge = RIDGE + RELATIVE_RIDGE * mProducts[i][i];
            double rest = mObserved[i] + ridge;
            for (int j = 0; j < PARTS; j++) {
                rest -= j == i ? 0 : mProducts[i][j] * mCoefficients[j];
            }
            mCoefficients[i] =
                    Math.max(
                            MIN_COEFFICIENT,
                            Math.min(MAX_COEFFICIENT, rest / (mProducts[i][i] + ridge)));
        }
    }
}
