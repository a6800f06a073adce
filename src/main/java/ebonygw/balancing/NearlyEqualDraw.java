package ebonygw.balancing;

import java.util.SplittableRandom;

/**
 * Draws among candidates whose costs are nearly equal, so that entries that decide by the same old
 * reports do not all choose the same target. Not thread-safe.
 */
public final class NearlyEqualDraw {
    /** Weight of the most expensive candidate that takes part, relative to the cheapest. */
    private static final double LEAST_WEIGHT = 0.2;

    private final SplittableRandom mRandom;

    /**
     * Creates a draw.
     *
     * @param seed seed of the random source, another one for each entry
     */
    public NearlyEqualDraw(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns the index of a candidate. Those with a cost above the lowest plus the margin get
     * nothing; among the others the weight falls with the cost and grows with the capacity.
     *
     * @param costs costs by candidate, {@link Long#MAX_VALUE} for those that do not take part
     * @param capacities capacities by candidate, positive
     * @param count number of candidates
     * @param marginNanos maximum difference of nearly equal costs, positive
     * @return the index, -1 if no candidate takes part
     */
    public int pick(long[] costs, double[] capacities, int count, long marginNanos) {
        long lowest = Long.MAX_VALUE;
        int best = -1;
        for (int i = 0; i < count; i++) {
            if (costs[i] < lowest) {
                lowest = costs[i];
                best = i;
            }
        }
        if (best < 0) {
            return best;
        }
        double total = 0;
        for (int i = 0; i < count; i++) {
            total += weight(costs[i], lowest, capacities[i], marginNanos);
        }
        double point = mRandom.nextDouble() * total;
        for (int i = 0; i < count; i++) {
            point -= weight(costs[i], lowest, capacities[i], marginNanos);
            if (point < 0) {
                return i;
            }
        }
        return best;
    }

    private static double weight(long cost, long lowest, double capacity, long marginNanos) {
        if (cost == Long.MAX_VALUE || cost - lowest > marginNanos) {
            return 0;
        }
        double distance = (double) (cost - lowest) / marginNanos;
        return capacity * (1 - (1 - LEAST_WEIGHT) * distance);
    }
}
