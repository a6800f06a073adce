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
 * Decides at the entry whether an attempt without a whole answer is followed by another one.
 *
 * <p>An answer that has started is never repeated. Work that is not idempotent is repeated only if
 * it did not run. Retries are paid from a budget of the customer and one of the target that failed;
 * a move away from a target that is stopping costs nothing. Not thread-safe.
 */
public final class RetryPolicy {
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
     * Decides what follows an attempt without a whole answer; a retry is charged to the budgets.
     *
     * @param work the attempt that ended
     * @param refusal why, and whether it may have run
     * @param answerStarted whether the caller has got any part of an answer
     * @param customer its customer's settings
     * @param target where it was
     * @param remainingNanos time left until the deadline
     * @param nowNanos the present time
     */
    public RetryDecision decide(
            Work work,
            Refusal refusal,
            boolean answerStarted,
            CustomerSettings customer,
            NodeId target,
            long remainingNanos,
            long nowNanos) {
        if (answerStarted
                || !mayRepeat(work, refusal)
                || work.attempt() >= mOptions.maxAttempts()
                || remainingNanos < mOptions.leastRemainingNanos()) {
            return new RetryDecision.GiveUp(refusal);
        }
        if (refusal.code() == RefusalCode.STOPPING && refusal.verdict() == Verdict.NOT_RUN) {
            return new RetryDecision.TryElsewhere();
        }
        RetryBudget ofCustomer = customerBudget(customer.customer(), nowNanos);
        RetryBudget ofTarget = targetBudget(target, nowNanos);
        if (!ofCustomer.hasRoom(nowNanos) || !ofTarget.hasRoom(nowNanos)) {
            return new RetryDecision.GiveUp(refusal);
        }
        ofCustomer.spend();
        ofTarget.spend();
        return new RetryDecision.TryElsewhere();
    }

    /**
     * Returns after how long without an answer a second attempt of a call may be sent beside the
     * first; the caller charges it with {@link #spendHedge} when it is sent.
     *
     * @param work the attempt
     * @param customer its customer's settings
     * @param remainingNanos time left until the deadline
     * @param nowNanos the present time
     * @return the wait in nanoseconds; empty for work that is not idempotent, streams or runs on an
     *     adapter, without measured latency, and outside the budget
     */
    public Optional<Long> hedgeAfter(
            Work work, CustomerSettings customer, long remainingNanos, long nowNanos) {
        Latency latency = mLatencies.get(work.route());
        if (!work.idempotent()
                || work.streamed()
                || work.adapter().isPresent()
                || work.attempt() >= mOptions.maxAttempts()
                || latency == null
                || !customerBudget(customer.customer(), nowNanos).hasRoom(nowNanos)) {
            return Optional.empty();
        }
        long wait = (long) (latency.mMeanNanos + HEDGE_DEVIATIONS * latency.mDeviationNanos);
        return wait + latency.mMeanNanos < remainingNanos ? Optional.of(wait) : Optional.empty();
    }

    /** Takes note of a whole answer of a plain service, for hedging. */
    public void onAnswered(Work work, long latencyNanos) {
        if (work.adapter().isEmpty()) {
            mLatencies
                    .computeIfAbsent(work.route(), r -> new Latency(latencyNanos))
                    .add(latencyNanos);
        }
    }

    /** Takes note of a first attempt, which earns its customer and its target part of a retry. */
    public void onFirstAttempt(CustomerSettings customer, NodeId target, long nowNanos) {
        customerBudget(customer.customer(), nowNanos).onRequest(customer.retryPercent(), nowNanos);
        targetBudget(target, nowNanos).onRequest(mOptions.targetPercent(), nowNanos);
    }

    /** Charges a hedge to the customer's budget and returns whether there was room for it. */
    public boolean spendHedge(CustomerSettings customer, long nowNanos) {
        RetryBudget budget = customerBudget(customer.customer(), nowNanos);
        if (!budget.hasRoom(nowNanos)) {
            return false;
        }
        budget.spend();
        return true;
    }

    private static <K, V> Map<K, V> bounded(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > most;
            }
        };
    }

    private RetryBudget customerBudget(String customer, long nowNanos) {
        return mCustomers.computeIfAbsent(customer, c -> new RetryBudget(mOptions, nowNanos));
    }

    private static boolean mayRepeat(Work work, Refusal refusal) {
        boolean worthIt =
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
        return worthIt && (work.idempotent() || refusal.verdict() == Verdict.NOT_RUN);
    }

    private RetryBudget targetBudget(NodeId target, long nowNanos) {
        return mTargets.computeIfAbsent(target, t -> new RetryBudget(mOptions, nowNanos));
    }

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
