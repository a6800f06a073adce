package ebonygw.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Makes the arrivals of an experiment: Zipf popularity with shifts, and bursts of customers. */
final class ArrivalTrace {
    private static final int SHIFTED_HOT = 4;
    private static final int HOT = 20;
    private static final int PREFIXES_PER_ADAPTER = 4;

    private final Scenario mScenario;
    private final RandomGenerator mRandom;
    private final int mCustomers;
    private final double[] mCustomerSums;
    private final int[] mFirstAdapter;
    private final int[][] mByRank;
    private final double[][] mRankSums;

    private ArrivalTrace(Scenario scenario, RandomGenerator random) {
        mScenario = scenario;
        mRandom = random;
        mCustomers = scenario.customerWeights().size();
        mCustomerSums = new double[mCustomers];
        mFirstAdapter = new int[mCustomers + 1];
        mByRank = new int[mCustomers][];
        mRankSums = new double[mCustomers][];
        double total = scenario.customerWeights().stream().mapToDouble(w -> w).sum();
        double sum = 0;
        for (int customer = 0; customer < mCustomers; customer++) {
            sum += scenario.customerWeights().get(customer) / total;
            mCustomerSums[customer] = sum;
            mFirstAdapter[customer + 1] = (int) Math.round(sum * scenario.adapters());
            rankAdapters(customer);
        }
    }

    /** Returns the arrivals in order of time. */
    static List<Arrival> make(Scenario scenario, RandomGenerator random) {
        return new ArrivalTrace(scenario, random).arrivals();
    }

    private List<Arrival> arrivals() {
        List<Arrival> arrivals = new ArrayList<>();
        int end = mScenario.warmUpSeconds() + mScenario.measuredSeconds();
        double rate = mScenario.requestsPerSecond() + mScenario.serviceCallsPerSecond();
        double peak = rate + mScenario.requestsPerSecond() * (mScenario.burstFactor() - 1);
        double nextShift = mScenario.shiftSeconds();
        double now = 0;
        while (true) {
            now -= Math.log(1 - mRandom.nextDouble()) / peak;
            if (now >= end) {
                return arrivals;
            }
            if (now >= nextShift) {
                shift();
                nextShift += mScenario.shiftSeconds();
            }
            addArrival(arrivals, now, mRandom.nextDouble() * peak, rate);
        }
    }

    private void addArrival(List<Arrival> arrivals, double now, double draw, double rate) {
        int burst = mScenario.burstAt(now);
        boolean overRate = draw >= rate;
        int customer = pick(mCustomerSums, mRandom.nextDouble());
        if (overRate && (burst < 0 || burst % mCustomers != customer)) {
            return;
        }
        boolean service = draw < mScenario.serviceCallsPerSecond();
        int adapter =
                service ? -1 : mByRank[customer][pick(mRankSums[customer], mRandom.nextDouble())];
        int max = 100 + mRandom.nextInt(400);
        arrivals.add(
                new Arrival(
                        (long) (now * 1e9),
                        customer,
                        adapter,
                        mRandom.nextInt(mScenario.regions().size()),
                        100 + mRandom.nextInt(400),
                        service ? 0 : max,
                        service ? 0 : (int) (max * (0.4 + 0.6 * mRandom.nextDouble())),
                        service ? 0 : 1 + prefix(adapter),
                        overRate,
                        burst >= 0));
    }

    private static int pick(double[] sums, double draw) {
        int low = 0;
        int high = sums.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (sums[middle] < draw) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private long prefix(int adapter) {
        return adapter * (long) PREFIXES_PER_ADAPTER + mRandom.nextInt(PREFIXES_PER_ADAPTER);
    }

    private void rankAdapters(int customer) {
        int count = mFirstAdapter[customer + 1] - mFirstAdapter[customer];
        mByRank[customer] = new int[count];
        mRankSums[customer] = new double[count];
        double sum = 0;
        for (int rank = 0; rank < count; rank++) {
            mByRank[customer][rank] = mFirstAdapter[customer] + rank;
            sum += Math.pow(rank + 1, -mScenario.zipfExponent());
            mRankSums[customer][rank] = sum;
        }
        for (int rank = 0; rank < count; rank++) {
            mRankSums[customer][rank] /= sum;
            swap(mByRank[customer], rank, mRandom.nextInt(count));
        }
    }

    /** Lets some popular adapters of each customer change places with any others. */
    private void shift() {
        for (int[] byRank : mByRank) {
            for (int i = 0; i < SHIFTED_HOT; i++) {
                swap(byRank, mRandom.nextInt(HOT), mRandom.nextInt(byRank.length));
            }
        }
    }

    private static void swap(int[] array, int one, int other) {
        int kept = array[one];
        array[one] = array[other];
        array[other] = kept;
    }
}
