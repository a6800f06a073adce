package ebonygw.bench.shares;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Generates the requests of one run and records their outcomes.
 *
 * <p>A refusal is wrongful if a single token bucket for the whole fleet would have admitted the
 * request. Not thread-safe.
 */
final class Traffic {
    /** Covers the delay of new settings and the lease of a host that is cut off. */
    static final long GRACE_NANOS = 16 * VirtualFleet.SECOND;

    /** After this time an overloaded customer has used its burst, so that only its rate counts. */
    private static final long STEADY_STATE_DELAY_NANOS = 10 * VirtualFleet.SECOND;

    /** How long all requests go to the same process with moving arrival. */
    private static final long MOVE_INTERVAL_NANOS = VirtualFleet.SECOND;

    private final Scenario mScenario;
    private final Map<String, Random> mRandoms = new HashMap<>();
    private final Outcome mOutcome = new Outcome();
    private final Map<String, IdealBucket> mIdealBuckets = new HashMap<>();
    private final Map<String, OverrunChecker> mCheckers = new HashMap<>();
    private final Map<String, Long> mRates = new HashMap<>();
    private final Map<String, Long> mEntitledUntil = new HashMap<>();
    private long mSteadyFrom;
    private long mUntil;
    private long mLastRequestId;
    private VirtualFleet mFleet;

    Traffic(Scenario scenario, long seed) {
        mScenario = scenario;
        for (Scenario.Load load : scenario.loads()) {
            long customerSeed = seed * 31 + load.customer().hashCode();
            mRandoms.put(load.customer(), new Random(customerSeed));
            mCheckers.put(load.customer(), new OverrunChecker(GRACE_NANOS));
            setLimits(load.customer(), 0, load.ratePerSecond(), load.burst());
        }
    }

    /** Records that a customer's limits apply from a true time on. */
    void setLimits(String customer, long at, long rate, long burst) {
        accrueEntitlement(customer, at);
        mRates.put(customer, rate);
        mCheckers.get(customer).recordLimits(at, rate, burst);
        mIdealBuckets.computeIfAbsent(customer, it -> new IdealBucket()).setLimits(at, rate, burst);
    }

    /** Records the decision about a request, made at a true time. */
    void onDecided(Request request, boolean admitted, long now) {
        Outcome.Customer customer = mOutcome.customer(request.mCustomer);
        if (admitted) {
            customer.mAdmitted++;
            customer.mUsedTokens += now >= mSteadyFrom && now <= mUntil ? request.mUsedTokens : 0;
            customer.mWaitMicros.recordValue((now - request.mArrivedAt) / 1_000);
            mCheckers.get(request.mCustomer).recordCharge(now, request.mUsedTokens);
            return;
        }
        customer.mRefused++;
        if (request.mWithinRate) {
            customer.mWrongfulRefusals++;
        }
    }

    void onMessage() {
        mOutcome.mMessages++;
    }

    /** Starts the requests of all customers, from one true time until another. */
    void start(VirtualFleet fleet, long from, long until) {
        mFleet = fleet;
        mSteadyFrom = from + STEADY_STATE_DELAY_NANOS;
        mUntil = until;
        mOutcome.mMessages = 0;
        mOutcome.mHostSeconds =
                fleet.entryCount() * ((until - from) / (double) VirtualFleet.SECOND);
        for (Scenario.Load load : mScenario.loads()) {
            scheduleNext(load, from, until);
        }
    }

    /** Checks the charges against the limits and returns the results. */
    Outcome finish(String run) {
        mCheckers.forEach(
                (customer, checker) -> {
                    accrueEntitlement(customer, mUntil);
                    double excess = checker.worstExcess();
                    if (excess > 0) {
                        mOutcome.mOverruns++;
                    }
                    if (excess > mOutcome.mWorstExcess) {
                        mOutcome.mWorstExcess = excess;
                        mOutcome.mWorstRun = run + "/" + customer;
                    }
                });
        return mOutcome;
    }

    /** Adds the tokens that the rate allowed since the previous invocation, in the steady state. */
    private void accrueEntitlement(String customer, long until) {
        long end = Math.min(until, mUntil);
        long since = mEntitledUntil.getOrDefault(customer, mSteadyFrom);
        if (end > since) {
            double seconds = (end - since) / (double) VirtualFleet.SECOND;
            mOutcome.customer(customer).mEntitledTokens += seconds * mRates.get(customer);
            mEntitledUntil.put(customer, end);
        }
    }

    private void sendRequest(Scenario.Load load) {
        Random random = mRandoms.get(load.customer());
        long charged = Math.max(1, (long) (load.tokens() * (0.5 + random.nextDouble())));
        long used = Math.max(1, (long) (charged * (0.5 + 0.5 * random.nextDouble())));
        long now = mFleet.now();
        boolean withinRate = mIdealBuckets.get(load.customer()).tryTake(now, charged);
        long duration = (long) ((0.05 + 2 * random.nextDouble()) * VirtualFleet.SECOND);
        mLastRequestId++;
        Request request =
                new Request(
                        mLastRequestId, load.customer(), charged, used, now, duration, withinRate);
        Outcome.Customer customer = mOutcome.customer(load.customer());
        customer.mRequests++;
        customer.mWithinRate += withinRate ? 1 : 0;
        mFleet.sendRequest(chooseHost(load.customer(), now), request);
    }

    private int chooseHost(String customer, long now) {
        int entries = mFleet.entryCount();
        int first = Math.floorMod(customer.hashCode(), entries);
        if (mScenario.arrival() == Scenario.Arrival.MOVING) {
            return (int) ((first + now / MOVE_INTERVAL_NANOS * 7) % entries);
        }
        double sum = 0;
        for (int i = 0; i < entries; i++) {
            sum += 1.0 / (i + 1);
        }
        double draw = mRandoms.get(customer).nextDouble() * sum;
        int host = 0;
        while (host < entries - 1 && draw > 1.0 / (host + 1)) {
            draw -= 1.0 / (host + 1);
            host++;
        }
        return (first + host) % entries;
    }

    /** Schedules the customer's next request, with exponentially distributed gaps. */
    private void scheduleNext(Scenario.Load load, long at, long until) {
        double requestsPerSecond = load.load() * load.ratePerSecond() / load.tokens();
        double gap = -Math.log(1 - mRandoms.get(load.customer()).nextDouble()) / requestsPerSecond;
        long nextAt = at + (long) (gap * VirtualFleet.SECOND);
        if (nextAt < until) {
            mFleet.schedule(
                    nextAt,
                    () -> {
                        sendRequest(load);
                        scheduleNext(load, nextAt, until);
                    });
        }
    }

    /** A token bucket for the whole fleet that sees each request and change without delay. */
    private static final class IdealBucket {
        private double mTokens;
        private double mRate;
        private double mBurst;
        private long mRefilledAt;

        private void setLimits(long at, long rate, long burst) {
            refill(at);
            mTokens = mRefilledAt == 0 ? burst : Math.min(mTokens, burst);
            mRate = rate;
            mBurst = burst;
        }

        private void refill(long now) {
            double seconds = (now - mRefilledAt) / (double) VirtualFleet.SECOND;
            mTokens = Math.min(mBurst, mTokens + mRate * seconds);
            mRefilledAt = now;
        }

        private boolean tryTake(long now, long tokens) {
            refill(now);
            if (mTokens < tokens) {
                return false;
            }
            mTokens -= tokens;
            return true;
        }
    }
}
