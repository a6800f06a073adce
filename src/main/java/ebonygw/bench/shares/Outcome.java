package ebonygw.bench.shares;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of one or more runs. Not thread-safe. */
final class Outcome {
    private static final int DIGITS = 3;

    final Map<String, Customer> mCustomers = new TreeMap<>();
    long mOverruns;
    double mWorstExcess;
    String mWorstRun = "";
    long mMessages;
    double mHostSeconds;

    Customer customer(String name) {
        return mCustomers.computeIfAbsent(name, it -> new Customer());
    }

    /** Adds the figures of another run. */
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

    /** Returns messages a second and host. */
    double messageRate() {
        return mHostSeconds == 0 ? 0 : mMessages / mHostSeconds;
    }

    /** Returns wrongful refusals over all requests that were within their customer's rate. */
    double wrongfulShare() {
        long rightful = 0;
        long wrongful = 0;
        for (Customer customer : mCustomers.values()) {
            rightful += customer.mRightful;
            wrongful += customer.mWrongful;
        }
        return rightful == 0 ? 0 : wrongful / (double) rightful;
    }

    /** Returns the figures as a value for JSON. */
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
                wrongful(),
                "wrongfulShare",
                wrongfulShare(),
                "leastUsed",
                leastUtilisation(),
                "messagesPerSecondAndHost",
                messageRate(),
                "customers",
                customers);
    }

    long wrongful() {
        return mCustomers.values().stream().mapToLong(it -> it.mWrongful).sum();
    }

    /** Returns the least part of its entitled tokens that a customer could use. */
    double leastUtilisation() {
        return mCustomers.values().stream().mapToDouble(Customer::utilisation).min().orElse(0);
    }

    /** The figures of one customer. */
    static final class Customer {
        final Histogram mWaits = new Histogram(DIGITS);
        long mRequests;
        long mAdmitted;
        long mRefused;
        long mRightful;
        long mWrongful;
        long mUsed;
        double mEntitled;

        double servedShare() {
            return mRequests == 0 ? 1 : mAdmitted / (double) mRequests;
        }

        double utilisation() {
            return mEntitled == 0 ? 0 : mUsed / mEntitled;
        }

        double waitMillis(double percentile) {
            return mWaits.getValueAtPercentile(percentile) / 1e3;
        }

        private Map<String, Object> toMap() {
            return Map.of(
                    "requests", mRequests,
                    "served", servedShare(),
                    "refused", mRefused,
                    "rightful", mRightful,
                    "wrongful", mWrongful,
                    "waitMillis95", waitMillis(95),
                    "used", utilisation());
        }

        private void add(Customer other) {
            mWaits.add(other.mWaits);
            mRequests += other.mRequests;
            mAdmitted += other.mAdmitted;
            mRefused += other.mRefused;
            mRightful += other.mRightful;
            mWrongful += other.mWrongful;
            mUsed += other.mUsed;
            mEntitled += other.mEntitled;
        }
    }
}
