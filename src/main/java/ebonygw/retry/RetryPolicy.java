package ebonygw.retry;

import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.settings.CustomerSettings;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides at the entry whether an attempt without a complete response is retried.
 *
 * <p>A request is not retried once its response has started. Work that is not idempotent is retried
 * only if it did not run. Each retry is withdrawn from the retry budget of the customer and from
 * that of the target that failed; a retry of work that a stopping target did not run is free. Not
 * thread-safe.
 */
public final class RetryPolicy {
    /** Mean deviations above the mean latency after which a hedge may be sent. */
    private static final double HEDGE_DEVIATIONS = 3;

    private static final double SMOOTHING = 0.05;

    private final RetryOptions mOptions;
    private final Map<String, RetryBudget> mCustomers;
    private final Map<NodeId, RetryBudget> mTargets;
    private final Map<String, Latency> mLatencies;

    /**
     * Creates a policy with full budgets.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public RetryPolicy(RetryOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mCustomers = bounded(options.maxRemembered());
        mTargets = bounded(options.maxRemembered());
        mLatencies = bounded(options.maxRemembered());
    }

    /**
     * Decides what follows an attempt without a complete response. A retry is withdrawn from the
     * budgets.
     *
     * @param work the attempt that ended
     * @param refusal why it ended, and whether it may have run
     * @param responseStarted whether the caller has received any part of a response
     * @param customer its customer's settings
     * @param target the target that it was sent to
     * @param remainingNanos time left until the deadline
     * @param nowNanos the current time
     */
    public RetryDecision decide(
            Work work,
            Refusal refusal,
            boolean responseStarted,
            CustomerSettings customer,
            NodeId target,
            long remainingNanos,
            long nowNanos) {
        if (responseStarted
                || !mayRepeat(work, refusal)
                || work.attempt() >= mOptions.maxAttempts()
                || remainingNanos < mOptions.minRemainingNanos()) {
            return new RetryDecision.GiveUp(refusal);
        }
        if (refusal.code() == RefusalCode.STOPPING && refusal.verdict() == Verdict.NOT_RUN) {
            return new RetryDecision.RetryOnOtherTarget();
        }
        RetryBudget customerBudget = customerBudget(customer.customer(), nowNanos);
        RetryBudget targetBudget = targetBudget(target, nowNanos);
        if (!customerBudget.canWithdraw(nowNanos) || !targetBudget.canWithdraw(nowNanos)) {
            return new RetryDecision.GiveUp(refusal);
        }
        customerBudget.withdraw();
        targetBudget.withdraw();
        return new RetryDecision.RetryOnOtherTarget();
    }

    /**
     * Returns after how long without a response a hedge, a second attempt in parallel, may be sent.
     * When it is sent, the caller withdraws it with {@link #withdrawForHedge}.
     *
     * @param work the attempt
     * @param customer its customer's settings
     * @param remainingNanos time left until the deadline
     * @param nowNanos the current time
     * @return the wait in nanoseconds; empty if the work is not idempotent, streams, runs on an
     *     adapter or is the last allowed attempt, if no latency was measured, if the budget is
     *     exhausted, or if a response is not expected before the deadline
     */
    public Optional<Long> hedgeAfter(
            Work work, CustomerSettings customer, long remainingNanos, long nowNanos) {
        Latency latency = mLatencies.get(work.route());
        if (!work.idempotent()
                || work.streamed()
                || work.adapter().isPresent()
                || work.attempt() >= mOptions.maxAttempts()
                || latency == null
                || !customerBudget(customer.customer(), nowNanos).canWithdraw(nowNanos)) {
            return Optional.empty();
        }
        long wait = (long) (latency.mMeanNanos + HEDGE_DEVIATIONS * latency.mDeviationNanos);
        return wait + latency.mMeanNanos < remainingNanos ? Optional.of(wait) : Optional.empty();
    }

    /** Records the latency of a complete response, for hedging; ignored for work on an adapter. */
    public void onCompleted(Work work, long latencyNanos) {
        if (work.adapter().isEmpty()) {
            mLatencies
                    .computeIfAbsent(work.route(), r -> new Latency(latencyNanos))
                    .add(latencyNanos);
        }
    }

    /**
     * Records a first attempt, which deposits a fraction of a retry in its customer's and target's
     * budgets.
     */
    public void onFirstAttempt(CustomerSettings customer, NodeId target, long nowNanos) {
        customerBudget(customer.customer(), nowNanos).deposit(customer.retryPercent(), nowNanos);
        targetBudget(target, nowNanos).deposit(mOptions.targetRetryPercent(), nowNanos);
    }

    /** Withdraws a hedge from the customer's budget; returns false if the balance is too low. */
    public boolean withdrawForHedge(CustomerSettings customer, long nowNanos) {
        RetryBudget budget = customerBudget(customer.customer(), nowNanos);
        if (!budget.canWithdraw(nowNanos)) {
            return false;
        }
        budget.withdraw();
        return true;
    }

    /** Returns a map that removes its least recently used entry beyond a maximum size. */
    private static <K, V> Map<K, V> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }

    private RetryBudget customerBudget(String customer, long nowNanos) {
        return mCustomers.computeIfAbsent(customer, c -> new RetryBudget(mOptions, nowNanos));
    }

    private static boolean mayRepeat(Work work, Refusal refusal) {
        boolean retryable =
                switch (refusal.code()) {
                    case BROKEN_ANSWER,
                            BAD_ANSWER,
                            LOST,
                            OVERLOADED,
                            UNAVAILABLE,
                            STOPPING,
                            NOT_READY,
                            LOAD_FAILED,
                            DEADLINE ->
                            true;
                    default -> false;
                };
        return retryable && (work.idempotent() || refusal.verdict() == Verdict.NOT_RUN);
    }

    private RetryBudget targetBudget(NodeId target, long nowNanos) {
        return mTargets.computeIfAbsent(target, t -> new RetryBudget(mOptions, nowNanos));
    }

    /** Smoothed mean and mean deviation of the latency of a route. */
    private static final class Latency {
        private double mMeanNanos;
        private double mDeviationNanos;

        Latency(long firstNanos) {
            mMeanNanos = firstNanos;
            mDeviationNanos = firstNanos / 2.0;
        }

        void add(long nanos) {
            double error = nanos - mMeanNanos;
            mMeanNanos += SMOOTHING * error;
            mDeviationNanos += SMOOTHING * (Math.abs(error) - mDeviationNanos);
        }
    }
}
