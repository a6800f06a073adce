package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.retry.RetryBudget;
import ebonygw.retry.RetryOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
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
    private final GatewayOutbox mOut;
    private final Map<String, RetryBudget> mByService = new HashMap<>();
    private RetryOptions mRetryOptions;
    private int mEntries;

    FleetRetryBudgets(GatewayOptions options, GatewayOutbox out) {
        mOptions = options;
        mOut = out;
        onEntries(1);
    }

    /** Deposits the fraction of a retry that a new request adds to its service's budget. */
    void deposit(String service, long nowNanos) {
        budget(service, nowNanos).deposit(mRetryOptions.targetRetryPercent(), nowNanos);
    }

    /** Returns the balance of each service, for diagnostics. */
    Map<String, Object> dump() {
        Map<String, Object> balances = new TreeMap<>();
        mByService.forEach((service, budget) -> balances.put(service, budget.balance()));
        return balances;
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
        mOut.log(
                LogLine.of("retry_budget_divided")
                        .with("entries", entries)
                        .with("previous", mEntries)
                        .with("balances", dump()));
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
