package ebonygw.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A fleet of five entries whose targets reject every request without running it, so that entries
 * repeat requests as often as they may.
 */
final class RejectedLoad {
    static final int ENTRIES = 5;
    private static final int REPLICAS = 9;

    /** Length of the window in which retries are counted, and what the platform allows in it. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final double RATIO = 0.2;
    private static final int EXTRA = 56;

    private static final int INTERVAL_MILLIS = 40;

    final GatewayFleet mFleet;
    private final SplittableRandom mRandom;
    private final List<Long> mRequests = new ArrayList<>();

    RejectedLoad(long seed) {
        mRandom = new SplittableRandom(seed);
        mFleet = new GatewayFleet(seed, ENTRIES, REPLICAS);
        mFleet.mRejecting = true;
    }

    /** Sends requests to entries at random for a time. */
    void run(long millis) {
        for (long passed = 0; passed < millis; passed += INTERVAL_MILLIS) {
            List<String> entries = List.copyOf(mFleet.mEntries.keySet());
            if (!entries.isEmpty()) {
                String entry = entries.get(mRandom.nextInt(entries.size()));
                mRequests.add(mFleet.nowNanos());
                mFleet.submit(entry, GatewayFleet.prompt("own" + mRequests.size()));
            }
            mFleet.run(INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the maximum, over all windows, of the retries in a window divided by those allowed in
     * it: a fraction of its requests, or of those of a window before it, and a constant.
     */
    double maxUse() {
        List<Long> retries = retryTimes();
        double max = 0;
        for (int last = 0; last < retries.size(); last++) {
            long endNanos = retries.get(last) + 1;
            long requests =
                    Math.max(
                            count(mRequests, endNanos),
                            Math.max(
                                    count(mRequests, endNanos - WINDOW_NANOS / 2),
                                    count(mRequests, endNanos - WINDOW_NANOS)));
            max = Math.max(max, count(retries, endNanos) / (RATIO * requests + EXTRA));
        }
        return max;
    }

    /** Returns the number of retries that arrived in the last window. */
    long recentRetries() {
        return count(retryTimes(), mFleet.nowNanos());
    }

    /** Returns the arrival times of all attempts but the first of each request. */
    private List<Long> retryTimes() {
        List<Long> retries = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (GatewayFleet.Arrival arrival : mFleet.mArrivals) {
            if (!seen.add(arrival.request().id())) {
                retries.add(arrival.nanos());
            }
        }
        return retries;
    }

    private static long count(List<Long> times, long endNanos) {
        return times.stream()
                .filter(time -> time >= endNanos - WINDOW_NANOS && time < endNanos)
                .count();
    }
}
