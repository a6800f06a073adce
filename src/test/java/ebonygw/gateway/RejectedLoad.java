package ebonygw.gateway;

import ebonygw.retry.RetryWindows;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A fleet of five entries whose targets reject every request without running it, so that entries
 * repeat requests as often as they may.
 */
final class RejectedLoad {
    static final int ENTRIES = 5;
    private static final int REPLICAS = 9;
    private static final int INTERVAL_MILLIS = 40;

    /** Time between two requests, so short that the budget limits the retries. */
    static final int SHORT_INTERVAL_MILLIS = 10;

    final GatewayFleet mFleet;
    private final SplittableRandom mRandom;
    private final RetryWindows mWindows;
    private final int mIntervalMillis;
    private int mRequests;
    private int mCountedArrivals;

    RejectedLoad(long seed) {
        this(seed, INTERVAL_MILLIS);
    }

    RejectedLoad(long seed, int intervalMillis) {
        mIntervalMillis = intervalMillis;
        mRandom = new SplittableRandom(seed);
        mFleet = new GatewayFleet(seed, ENTRIES, REPLICAS);
        mFleet.mRejecting = true;
        GatewayOptions options = GatewayFixture.options();
        mWindows =
                new RetryWindows(
                        options.retryRatio(),
                        (int) options.retryExtra(),
                        options.retryWindowNanos());
    }

    /** Sends requests to entries at random for a time. */
    void run(long millis) {
        for (long passed = 0; passed < millis; passed += mIntervalMillis) {
            List<String> entries = List.copyOf(mFleet.mEntries.keySet());
            if (!entries.isEmpty()) {
                String entry = entries.get(mRandom.nextInt(entries.size()));
                mWindows.addRequest(mFleet.nowNanos());
                mFleet.submit(entry, GatewayFleet.prompt("own" + ++mRequests));
            }
            mFleet.run(mIntervalMillis);
        }
    }

    /** Returns the maximum, over all windows, of the retries made divided by those allowed. */
    double maxUse() {
        List<GatewayFleet.Arrival> arrivals = mFleet.mArrivals;
        arrivals.subList(mCountedArrivals, arrivals.size())
                .forEach(it -> mWindows.addArrival(it.request().id(), it.nanos()));
        mCountedArrivals = arrivals.size();
        return mWindows.maxUse();
    }
}
