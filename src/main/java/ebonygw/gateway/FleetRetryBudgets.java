package ebonygw.gateway;

import ebonygw.retry.RetryBudget;
import ebonygw.retry.RetryOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * This entry's parts of the repeated attempts that all entries together may make, by service.
 *
 * <p>Not thread-safe.
 */
final class FleetRetryBudgets {
    /** Least time left for an attempt: a round trip between regions. */
    static final long LEAST_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final GatewayOptions mOptions;
    private final Map<String, RetryBudget> mByService = new HashMap<>();
    private RetryOptions mRetryOptions;
    private int mEntries;

    FleetRetryBudgets(GatewayOptions options) {
        mOptions = options;
        onEntries(1);
    }

    /** Returns how many entries share the fleet's allowance. */
    int entries() {
        return mEntries;
    }

    /** Returns whether a request of a service may be sent once more, and counts it if so. */
    boolean spend(String service, long nowNanos) {
        RetryBudget budget = of(service, nowNanos);
        boolean room = budget.hasRoom(nowNanos);
        if (room) {
            budget.spend();
        }
        return room;
    }

    /** Takes in how many entries share the fleet's allowance. */
    void onEntries(int entries) {
        if (entries == mEntries) {
            return;
        }
        mEntries = entries;
        double extra = mOptions.retryExtra() / entries / 2;
        double perSecond = extra * 1e9 / mOptions.retryWindowNanos();
        int percent = (int) (mOptions.retryRatio() * 100);
        RetryOptions defaults = RetryOptions.defaults();
        mRetryOptions =
                new RetryOptions(
                        defaults.maxAttempts(),
                        percent,
                        extra,
                        perSecond,
                        LEAST_LEFT_NANOS,
                        defaults.maxRemembered());
        mByService.clear();
    }

    /** Counts a request, which adds to its service's budget. */
    void onRequest(String service, long nowNanos) {
        of(service, nowNanos).onRequest(mRetryOptions.targetPercent(), nowNanos);
    }

    private RetryBudget of(String service, long nowNanos) {
        return mByService.computeIfAbsent(service, s -> new RetryBudget(mRetryOptions, nowNanos));
    }
}
