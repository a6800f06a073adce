package ebonygw.gateway;

import ebonygw.scheduling.DecayedRate;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Enforces customer quotas across all entries, which exchange the tokens that each has charged.
 *
 * <p>Each entry keeps a token bucket with the whole quota of every customer. It charges its own
 * usage and, when it receives their reports, the usage of all other entries. For each entry that is
 * unreachable it reserves an equal part of rate and burst. Together the entries exceed the quota by
 * at most what they admit within one exchange interval, hence the tolerance. Not thread-safe.
 */
public final class FleetQuota implements CustomerQuota {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Fraction of the overage that is granted; the rest covers usage that is not reported yet. */
    private static final double OVERAGE_FRACTION = 0.5;

    /** Fraction of the tolerance that is granted as slack. */
    private static final double SLACK_FRACTION = 0.75;

    /**
     * Maximum time until other entries receive a charge: three messages through relays, each after
     * its send interval and a tick, plus inter-region delay.
     */
    private static final double MAX_EXCHANGE_SECONDS = 0.5;

    /** Half-life of the rate of requested tokens. */
    private static final long DEMAND_HALF_LIFE_NANOS = 500_000_000L;

    private final double mToleranceTokens;
    private final double mOverageFactor;
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final Map<String, Long> mUnreported = new HashMap<>();
    private int mReachable = 1;
    private int mEntries = 1;

    /**
     * Creates an instance without customers.
     *
     * @param toleranceTokens tokens by which all entries together may exceed a customer's quota
     * @param overage fraction by which a customer's rate and burst may be exceeded
     * @throws IllegalArgumentException if an argument is negative or NaN
     */
    public FleetQuota(double toleranceTokens, double overage) {
        if (!(toleranceTokens >= 0 && overage >= 0)) {
            throw new IllegalArgumentException(
                    "toleranceTokens and overage must not be negative: "
                            + toleranceTokens
                            + ", "
                            + overage);
        }
        mToleranceTokens = toleranceTokens;
        mOverageFactor = 1 + overage * OVERAGE_FRACTION;
    }

    /**
     * Charges a request if its customer's quota allows it.
     *
     * @param customer name of the customer; one without a limit is never refused
     * @param tokens the charge, not negative
     * @param nowNanos the current time
     * @return 0 if it was charged, else after how many nanoseconds it would be
     */
    public long charge(String customer, long tokens, long nowNanos) {
        Bucket bucket = mBuckets.get(customer);
        if (bucket == null) {
            return 0;
        }
        bucket.refill(nowNanos);
        bucket.mDemand.add(tokens, nowNanos);
        double missing = tokens - bucket.slack(nowNanos) - bucket.mAvailable;
        if (missing > 0 && bucket.mAvailable < bucket.capacity()) {
            double rate = Math.max(1, bucket.rate());
            double refill = Math.min(missing, bucket.capacity() - bucket.mAvailable);
            return Math.max(1, (long) (refill / rate * NANOS_PER_SECOND));
        }
        bucket.mAvailable -= tokens;
        mUnreported.merge(customer, tokens, Long::sum);
        return 0;
    }

    @Override
    public long charge(String customer, long tokens, int priority, long nowNanos) {
        return charge(customer, tokens, nowNanos);
    }

    /** Returns the available tokens of each limited customer, for diagnostics. */
    @Override
    public Map<String, Long> dump() {
        Map<String, Long> availableByCustomer = new HashMap<>();
        mBuckets.forEach(
                (customer, bucket) -> availableByCustomer.put(customer, (long) bucket.mAvailable));
        return availableByCustomer;
    }

    @Override
    public void refund(String customer, long tokens) {
        Bucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.mAvailable = Math.min(bucket.capacity(), bucket.mAvailable + tokens);
            mUnreported.merge(customer, -tokens, Long::sum);
        }
    }

    @Override
    public long available(String customer) {
        Bucket bucket = mBuckets.get(customer);
        return bucket == null ? 0 : (long) bucket.mAvailable;
    }

    @Override
    public void onUsage(Map<String, Long> tokensByCustomer, long nowNanos) {
        tokensByCustomer.forEach(
                (customer, tokens) -> {
                    Bucket bucket = mBuckets.get(customer);
                    if (bucket != null) {
                        bucket.refill(nowNanos);
                        bucket.mAvailable = Math.min(bucket.capacity(), bucket.mAvailable - tokens);
                    }
                });
    }

    /**
     * Applies the number of entries.
     *
     * @param reachable entries that exchange their usage now, including this one, at least 1
     * @param entries entries that may admit requests, at least {@code reachable}
     * @param nowNanos the current time
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    @Override
    public void onEntries(int reachable, int entries, long nowNanos) {
        if (reachable < 1 || entries < reachable) {
            throw new IllegalArgumentException(
                    "reachable must be between 1 and " + entries + " entries: " + reachable);
        }
        mBuckets.values().forEach(bucket -> bucket.refill(nowNanos));
        mReachable = reachable;
        mEntries = entries;
        mBuckets.values().forEach(Bucket::capToCapacity);
    }

    @Override
    public void onSettings(Collection<GatewayCustomer> customers, long nowNanos) {
        Objects.requireNonNull(customers, "customers");
        Map<String, Bucket> kept = new HashMap<>(mBuckets);
        mBuckets.clear();
        for (GatewayCustomer customer : customers) {
            if (customer.tokensPerSecond() <= 0) {
                continue;
            }
            Bucket bucket = kept.get(customer.name());
            if (bucket == null) {
                bucket = new Bucket(customer, nowNanos);
            } else {
                bucket.refill(nowNanos);
                bucket.mQuota = customer;
                bucket.capToCapacity();
            }
            mBuckets.put(customer.name(), bucket);
        }
    }

    @Override
    public Map<String, Long> drainUnreported() {
        mUnreported.values().removeIf(tokens -> tokens == 0);
        if (mUnreported.isEmpty()) {
            return Map.of();
        }
        Map<String, Long> drained = Map.copyOf(mUnreported);
        mUnreported.clear();
        return drained;
    }

    /** Returns the fraction of each quota that the reachable entries may use. */
    private double reachableFraction() {
        return (double) mReachable / mEntries;
    }

    /** Token bucket of one customer; may be overdrawn by usage of other entries. */
    private final class Bucket {
        private GatewayCustomer mQuota;
        private final DecayedRate mDemand = new DecayedRate(DEMAND_HALF_LIFE_NANOS);
        private double mAvailable;
        private long mRefilledNanos;

        /** Starts with one entry's equal part, because the others may have used theirs. */
        Bucket(GatewayCustomer quota, long nowNanos) {
            mQuota = quota;
            mAvailable = capacity() / mEntries;
            mRefilledNanos = nowNanos;
        }

        double capacity() {
            return mQuota.burst() * mOverageFactor * reachableFraction();
        }

        /**
         * Returns the tokens that may be charged beyond the bucket's content, so that outdated
         * knowledge of other entries' usage does not refuse requests within the quota. This is a
         * fraction of the tolerance, less what all reachable entries may admit before they receive
         * each other's charges.
         */
        double slack(long nowNanos) {
            double unreported = mDemand.perSecond(nowNanos) * mReachable * MAX_EXCHANGE_SECONDS;
            return Math.max(
                    0, mToleranceTokens * SLACK_FRACTION * reachableFraction() - unreported);
        }

        double rate() {
            return mQuota.tokensPerSecond() * mOverageFactor * reachableFraction();
        }

        void refill(long nowNanos) {
            if (nowNanos > mRefilledNanos) {
                mAvailable += rate() * (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
                mRefilledNanos = nowNanos;
                capToCapacity();
            }
        }

        void capToCapacity() {
            mAvailable = Math.min(mAvailable, capacity());
        }
    }
}
