package ebonygw.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Generates the arrivals of an experiment.
 *
 * <p>Arrivals form a Poisson process. Each customer owns a range of adapters whose popularity
 * follows a Zipf distribution that shifts at fixed intervals. Customers send bursts in turn.
 */
final class ArrivalGenerator {
    /** Number of popular adapters per customer that a shift swaps with random ones. */
    private static final int SWAPS_PER_SHIFT = 4;

    /** Ranks from which a shift of popularity picks the adapters to replace. */
    private static final int POPULAR_RANKS = 20;

    /** Number of distinct prompt prefixes of the requests for one adapter. */
    private static final int PREFIXES_PER_ADAPTER = 4;

    private final Scenario mScenario;
    private final RandomGenerator mRandom;
    private final int mCustomers;
    private final double[] mCumulativeCustomerWeights;
    private final int[] mFirstAdapter;
    private final int[][] mAdaptersByRank;
    private final double[][] mCumulativeRankWeights;

    private ArrivalGenerator(Scenario scenario, RandomGenerator random) {
        mScenario = scenario;
        mRandom = random;
        mCustomers = scenario.customerWeights().size();
        mCumulativeCustomerWeights = new double[mCustomers];
        mFirstAdapter = new int[mCustomers + 1];
        mAdaptersByRank = new int[mCustomers][];
        mCumulativeRankWeights = new double[mCustomers][];
        double total = scenario.customerWeights().stream().mapToDouble(w -> w).sum();
        double sum = 0;
        for (int customer = 0; customer < mCustomers; customer++) {
            sum += scenario.customerWeights().get(customer) / total;
            mCumulativeCustomerWeights[customer] = sum;
            mFirstAdapter[customer + 1] = (int) Math.round(sum * scenario.adapters());
            rankAdapters(customer);
        }
    }

    /** Generates the arrivals of a scenario, ordered by time. */
    static List<Arrival> generate(Scenario scenario, RandomGenerator random) {
        return new ArrivalGenerator(scenario, random).generateAll();
    }

    /**
     * Generates a Poisson process of varying rate by thinning: candidates are drawn at the peak
     * rate, and {@link #addArrival} discards those that exceed the rate at their time.
     */
    private List<Arrival> generateAll() {
        List<Arrival> arrivals = new ArrayList<>();
        int end = mScenario.warmUpSeconds() + mScenario.measuredSeconds();
        double normalRate = mScenario.requestsPerSecond() + mScenario.serviceRequestsPerSecond();
        double peakRate =
                normalRate + mScenario.requestsPerSecond() * (mScenario.burstFactor() - 1);
        double nextShift = mScenario.shiftIntervalSeconds();
        double now = 0;
        while (true) {
            now -= Math.log(1 - mRandom.nextDouble()) / peakRate;
            if (now >= end) {
                return arrivals;
            }
            if (now >= nextShift) {
                shiftPopularity();
                nextShift += mScenario.shiftIntervalSeconds();
            }
            addArrival(arrivals, now, mRandom.nextDouble() * peakRate, normalRate);
        }
    }

    /**
     * Adds the arrival of a candidate, or discards the candidate if it exceeds the normal rate and
     * its customer sends no burst at that time.
     *
     * @param draw uniform random value between 0 and the peak rate: below the rate of the plain
     *     services it stands for one of their requests, from {@code normalRate} up for a burst
     */
    private void addArrival(List<Arrival> arrivals, double now, double draw, double normalRate) {
        int burst = mScenario.burstIndexAt(now);
        boolean overRate = draw >= normalRate;
        int customer = sampleIndex(mCumulativeCustomerWeights, mRandom.nextDouble());
        if (overRate && (burst < 0 || burst % mCustomers != customer)) {
            return;
        }
        boolean service = draw < mScenario.serviceRequestsPerSecond();
        int adapter =
                service
                        ? -1
                        : mAdaptersByRank[customer][
                                sampleIndex(
                                        mCumulativeRankWeights[customer], mRandom.nextDouble())];
        int maxTokens = 100 + mRandom.nextInt(400);
        arrivals.add(
                new Arrival(
                        (long) (now * 1e9),
                        customer,
                        adapter,
                        mRandom.nextInt(mScenario.regions().size()),
                        100 + mRandom.nextInt(400),
                        service ? 0 : maxTokens,
                        service ? 0 : (int) (maxTokens * (0.4 + 0.6 * mRandom.nextDouble())),
                        service ? 0 : 1 + samplePrefix(adapter),
                        overRate,
                        burst >= 0));
    }

    /** Returns the first index whose cumulative weight is at least {@code draw}. */
    private static int sampleIndex(double[] cumulativeWeights, double draw) {
        int low = 0;
        int high = cumulativeWeights.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] < draw) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private long samplePrefix(int adapter) {
        return adapter * (long) PREFIXES_PER_ADAPTER + mRandom.nextInt(PREFIXES_PER_ADAPTER);
    }

    /**
     * Ranks the adapters of a customer at random and weights the ranks by the Zipf distribution.
     */
    private void rankAdapters(int customer) {
        int count = mFirstAdapter[customer + 1] - mFirstAdapter[customer];
        mAdaptersByRank[customer] = new int[count];
        mCumulativeRankWeights[customer] = new double[count];
        double sum = 0;
        for (int rank = 0; rank < count; rank++) {
            mAdaptersByRank[customer][rank] = mFirstAdapter[customer] + rank;
            sum += Math.pow(rank + 1, -mScenario.zipfExponent());
            mCumulativeRankWeights[customer][rank] = sum;
        }
        for (int rank = 0; rank < count; rank++) {
            mCumulativeRankWeights[customer][rank] /= sum;
            swap(mAdaptersByRank[customer], rank, mRandom.nextInt(count));
        }
    }

    /** Swaps the ranks of some popular adapters of each customer with those of random ones. */
    private void shiftPopularity() {
        for (int[] byRank : mAdaptersByRank) {
            for (int i = 0; i < SWAPS_PER_SHIFT; i++) {
                swap(byRank, mRandom.nextInt(POPULAR_RANKS), mRandom.nextInt(byRank.length));
            }
        }
    }

    private static void swap(int[] array, int first, int second) {
        int previous = array[first];
        array[first] = array[second];
        array[second] = previous;
    }
}
