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
 * <p>The budgets of all entries together never exceed those of the fleet: a budget starts empty,
 * because a former process of this entry may have spent its part; a change of the number of entries
 * adds nothing to a balance; and an entry that may not use its part (see {@link FleetSize}) has the
 * deposits of its own requests only.
 *
 * <p>Not thread-safe.
 */
final class FleetRetryBudgets {
    /** Minimum time left until the deadline for an attempt: a round trip between regions. */
    static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /**
     * Longest time that a retry may wait for a connection after it was withdrawn from its budget.
     * Longer than the time limit of a connection that cannot be opened, so that its target is known
     * to have failed.
     */
    static final long MAX_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /**
     * Balance that every entry may hold, so that deposits of its own requests add up to a retry.
     */
    private static final double MIN_BALANCE = 1;

    private static final int WHOLE_PERCENT = 100;

    private final GatewayOptions mOptions;
    private final FleetSize mFleet;
    private final GatewayOutbox mOut;
    private final Map<String, RetryBudget> mByService = new HashMap<>();

    /** Budget of a service without any requests so far. */
    private final RetryBudget mUnused;

    private RetryOptions mRetryOptions;
    private int mEntries = 1;
    private boolean mCertain;

    FleetRetryBudgets(GatewayOptions options, FleetSize fleet, GatewayOutbox out) {
        mOptions = options;
        mFleet = fleet;
        mOut = out;
        mRetryOptions = retryOptions();
        mUnused = RetryBudget.empty(mRetryOptions, 0);
    }

    /** Returns whether a service's budget allows a retry now. */
    boolean canWithdraw(String service, long nowNanos) {
        return budget(service, nowNanos).canWithdraw(nowNanos);
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

    /** Applies a changed size of the fleet. */
    void onTick(long nowNanos) {
        int entries = mFleet.entries();
        boolean certain = mFleet.isCertain(nowNanos);
        if (entries == mEntries && certain == mCertain) {
            return;
        }
        mOut.log(
                LogLine.of("retry_budget_divided")
                        .with("entries", entries)
                        .with("previous", mEntries)
                        .with("certain", certain)
                        .with("balances", dump()));
        mEntries = entries;
        mCertain = certain;
        mRetryOptions = retryOptions();
        mUnused.setOptions(mRetryOptions, nowNanos);
        mByService.values().forEach(budget -> budget.setOptions(mRetryOptions, nowNanos));
    }

    /** Returns the charge for a retry that was not sent after all. */
    void refund(String service, long nowNanos) {
        budget(service, nowNanos).deposit(WHOLE_PERCENT, nowNanos);
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
        return mByService.computeIfAbsent(service, s -> mUnused.copy(nowNanos));
    }

    /**
     * Returns the bounds of this entry's budgets. The retries that arrive within one window were
     * withdrawn in it or up to the longest wait before, and what such a wait returns to the budget
     * was withdrawn up to another one before. Within this longer time a budget spends at most its
     * balance at the start and what it receives meanwhile, hence half of the extra retries for
     * each. The minimum balances of entries that may not use their part are taken off the latter.
     */
    private RetryOptions retryOptions() {
        double half = mOptions.retryExtra() / 2;
        long spendingNanos = mOptions.retryWindowNanos() + 2 * MAX_CONNECT_NANOS;
        double refill =
                Math.max(0, half - MIN_BALANCE * mEntries) / mEntries / (spendingNanos / 1e9);
        double ratio = mOptions.retryRatio() * mOptions.retryWindowNanos() / (double) spendingNanos;
        RetryOptions defaults = RetryOptions.defaults();
        return new RetryOptions(
                defaults.maxAttempts(),
                (int) (ratio * WHOLE_PERCENT),
                mCertain ? Math.max(MIN_BALANCE, half / mEntries) : MIN_BALANCE,
                mCertain ? refill : 0,
                MIN_REMAINING_NANOS,
                defaults.maxRemembered());
    }
}
