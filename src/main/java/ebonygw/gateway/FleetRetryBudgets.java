package ebonygw.gateway;

import ebonygw.retry.RetryBudget;
import ebonygw.retry.RetryOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Retry budgets of this entry, one per service. Each is this entry's equal part of the retries that
 * the whole fleet may make.
 *
 * <p>Not thread-safe.
 */
final class FleetRetryBudgets {
    /** Minimum time left until the deadline for an attempt: a round trip between regions. */
    static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final GatewayOptions mOptions;
    private final Map<String, RetryBudget> mByService = new HashMap<>();
    private RetryOptions mRetryOptions;
    private int mEntries;

    FleetRetryBudgets(GatewayOptions options) {
        mOptions = options;
        onEntries(1);
    }

    /** Deposits the fraction of a retry that a new request adds to its service's budget. */
    void deposit(String service, long nowNanos) {
        budget(service, nowNanos).deposit(mRetryOptions.targetRetryPercent(), nowNanos);
    }

    /** Returns how many entries the fleet's retry budget is divided among. */
    int entries() {
        return mEntries;
    }

    /** Applies the number of entries; a new number resets all budgets. */
    void onEntries(int entries) {
        if (entries == mEntries) {
            return;
        }
        mEntries = entries;
        // The budget starts full and also refills within the window, hence half for each.
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
                        MIN_REMAINING_NANOS,
                        defaults.maxRemembered());
        mByService.clear();
    }

    /** Withdraws one retry from a service's budget; returns whether the balance allowed it. */
    boolean tryWithdraw(String service, long nowNanos) {
        RetryBudget budget = budget(service, nowNanos);
        boolean allowed = budget.canWithdraw(nowNanos);
        if (allowed) {
            budget.withdraw();
        }
        return allowed;
    }

    private RetryBudget budget(String service, long nowNanos) {
        return mByService.computeIfAbsent(service, s -> new RetryBudget(mRetryOptions, nowNanos));
    }
}
