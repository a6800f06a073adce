package ebonygw.bench.shares;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of one or more runs of a scenario. Not thread-safe. */
final class Outcome {
    private static final int HISTOGRAM_DIGITS = 3;

    final Map<String, Customer> mCustomers = new TreeMap<>();

    /** Number of customers, over all runs, whose charges exceeded their rate and burst. */
    long mOverruns;

    /**
     * Maximum number of tokens by which a customer's charges exceeded its limits, 0 if none did.
     */
    double mWorstExcess;

    /** The run and customer of the worst excess, empty if there is none. */
    String mWorstRun = "";

    long mMessages;

    /** Seconds of traffic times the number of hosts. */
    double mHostSeconds;

    Customer customer(String name) {
        return mCustomers.computeIfAbsent(name, it -> new Customer());
    }

    /** Adds the results of another run. */
    void add(Outcome other) {
        mOverruns += other.mOverruns;
        if (other.mWorstExcess > mWorstExcess) {
            mWorstExcess = other.mWorstExcess;
            mWorstRun = other.mWorstRun;
        }
        mMessages += other.mMessages;
        mHostSeconds += other.mHostSeconds;
        other.mCustomers.forEach((name, customer) -> customer(name).add(customer));
    }

    /** Returns the mean number of messages per second and host. */
    double messagesPerSecondAndHost() {
        return mHostSeconds == 0 ? 0 : mMessages / mHostSeconds;
    }

    /** Returns the ratio of wrongful refusals to requests within their customer's rate. */
    double wrongfulRatio() {
        long withinRate = 0;
        long wrongful = 0;
        for (Customer customer : mCustomers.values()) {
            withinRate += customer.mWithinRate;
            wrongful += customer.mWrongfulRefusals;
        }
        return withinRate == 0 ? 0 : wrongful / (double) withinRate;
    }

    /** Returns the results as a value for JSON. */
    Map<String, Object> toMap() {
        Map<String, Object> customers = new TreeMap<>();
        mCustomers.forEach((name, it) -> customers.put(name, it.toMap()));
        return Map.of(
                "overruns",
                mOverruns,
                "worstExcessTokens",
                mWorstExcess,
                "worstRun",
                mWorstRun,
                "wrongful",
                wrongfulRefusals(),
                "wrongfulShare",
                wrongfulRatio(),
                "leastUsed",
                minUtilisation(),
                "messagesPerSecondAndHost",
                messagesPerSecondAndHost(),
                "customers",
                customers);
    }

    /** Returns the number of refused requests that were within their customer's rate. */
    long wrongfulRefusals() {
        return mCustomers.values().stream().mapToLong(it -> it.mWrongfulRefusals).sum();
    }

    /** Returns the minimum over all customers of the part of its entitled tokens that it used. */
    double minUtilisation() {
        return mCustomers.values().stream().mapToDouble(Customer::utilisation).min().orElse(0);
    }

    /** Results for one customer. */
    static final class Customer {
        final Histogram mWaitMicros = new Histogram(HISTOGRAM_DIGITS);
        long mRequests;
        long mAdmitted;
        long mRefused;

        /** Requests that one token bucket for the whole fleet would admit. */
        long mWithinRate;

        /** Refused requests among those within the rate. */
        long mWrongfulRefusals;

        /** Tokens used by requests admitted in the steady state. */
        long mUsedTokens;

        /** Tokens that the rate allowed in the steady state. */
        double mEntitledTokens;

        double servedRatio() {
            return mRequests == 0 ? 1 : mAdmitted / (double) mRequests;
        }

        double utilisation() {
            return mEntitledTokens == 0 ? 0 : mUsedTokens / mEntitledTokens;
        }

        double waitMillis(double percentile) {
            return mWaitMicros.getValueAtPercentile(percentile) / 1e3;
        }

        private Map<String, Object> toMap() {
            return Map.of(
                    "requests", mRequests,
                    "served", servedRatio(),
                    "refused", mRefused,
                    "rightful", mWithinRate,
                    "wrongful", mWrongfulRefusals,
                    "waitMillis95", waitMillis(95),
                    "used", utilisation());
        }

        private void add(Customer other) {
            mWaitMicros.add(other.mWaitMicros);
            mRequests += other.mRequests;
            mAdmitted += other.mAdmitted;
            mRefused += other.mRefused;
            mWithinRate += other.mWithinRate;
            mWrongfulRefusals += other.mWrongfulRefusals;
            mUsedTokens += other.mUsedTokens;
            mEntitledTokens += other.mEntitledTokens;
        }
    }
}
