package ebonygw.gateway;

import ebonygw.scheduling.DecayedRate;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Keeps customers within their quotas over all entries by exchanging what each has charged.
 *
 * <p>Each entry keeps a bucket of every customer's whole quota and charges its own use and, as it
 * hears of it, all others'. For each entry that it cannot hear it sets an equal part of rate and
 * burst aside. Together the entries use more than the quota by at most what they admit within one
 * exchange interval, which is why a tolerance is part of the options. Not thread-safe.
 */
public final class FleetQuota {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of the overage that is used; the rest is for what is admitted before it is heard of. */
    private static final double OVERAGE_PART = 0.5;

    /** Part of the tolerance that is used as slack. */
    private static final double SLACK_PART = 0.75;

    /** Longest time until other entries have heard of a use: an interval and a long link. */
    private static final double EXCHANGE_SECONDS = 0.3;

    /** After how long a request counts half in what is asked for. */
    private static final long ASKED_HALF_LIFE_NANOS = 500_000_000L;

    private final double mToleranceTokens;
    private final double mFactor;
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final Map<String, Long> mUnreported = new HashMap<>();
    private int mReachable = 1;
    private int mEntries = 1;

    /**
     * Creates quotas without customers.
     *
     * @param toleranceTokens tokens that all entries together may use beyond a customer's quota
     * @param overage part of a customer's rate and burst that may be used beyond them
     * @throws IllegalArgumentException if one is below 0
     */
    public FleetQuota(double toleranceTokens, double overage) {
        if (!(toleranceTokens >= 0 && overage >= 0)) {
            throw new IllegalArgumentException("tolerance or overage below 0");
        }
        mToleranceTokens = toleranceTokens;
        mFactor = 1 + overage * OVERAGE_PART;
    }

    /**
     * Charges a request unless its customer is over its quota.
     *
     * @param customer name of the customer; one without a limit is never over it
     * @param tokens the charge, not negative
     * @param nowNanos the present time
     * @return 0 if it was charged, else after how many nanoseconds it would be
     */
    public long charge(String customer, long tokens, long nowNanos) {
        Bucket bucket = mBuckets.get(customer);
        if (bucket == null) {
            return 0;
        }
        bucket.refill(nowNanos);
        bucket.mAsked.add(tokens, nowNanos);
        double missing = tokens - bucket.slack(nowNanos) - bucket.mLevel;
        if (missing > 0 && bucket.mLevel < bucket.capacity()) {
            double rate = Math.max(1, bucket.rate());
            double reachable = Math.min(missing, bucket.capacity() - bucket.mLevel);
            return Math.max(1, (long) (reachable / rate * NANOS_PER_SECOND));
        }
        bucket.mLevel -= tokens;
        mUnreported.merge(customer, tokens, Long::sum);
        return 0;
    }

    /** Returns the tokens at hand of each limited customer, for people. */
    public Map<String, Long> dump() {
        Map<String, Long> levels = new HashMap<>();
        mBuckets.forEach((customer, bucket) -> levels.put(customer, (long) bucket.mLevel));
        return levels;
    }

    /** Gives back the charge of a request that did not run. */
    public void giveBack(String customer, long tokens) {
        Bucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.mLevel = Math.min(bucket.capacity(), bucket.mLevel + tokens);
            mUnreported.merge(customer, -tokens, Long::sum);
        }
    }

    /** Returns a customer's tokens at hand, below 0 for more charged than there were, 0 if none. */
    long level(String customer) {
        Bucket bucket = mBuckets.get(customer);
        return bucket == null ? 0 : (long) bucket.mLevel;
    }

    /** Takes in what another entry has charged. */
    public void onUsage(Map<String, Long> tokensByCustomer, long nowNanos) {
        tokensByCustomer.forEach(
                (customer, tokens) -> {
                    Bucket bucket = mBuckets.get(customer);
                    if (bucket != null) {
                        bucket.refill(nowNanos);
                        bucket.mLevel = Math.min(bucket.capacity(), bucket.mLevel - tokens);
                    }
                });
    }

    /**
     * Takes in how many entries there are.
     *
     * @param reachable entries that exchange their use now, this one included, at least 1
     * @param entries entries that may admit requests, at least {@code reachable}
     * @param nowNanos the present time
     */
    public void onEntries(int reachable, int entries, long nowNanos) {
        if (reachable < 1 || entries < reachable) {
            throw new IllegalArgumentException(reachable + " of " + entries + " entries");
        }
        mBuckets.values().forEach(bucket -> bucket.refill(nowNanos));
        mReachable = reachable;
        mEntries = entries;
        mBuckets.values().forEach(Bucket::trim);
    }

    /** Takes over the quotas of a new configuration; lower ones are in force on return. */
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
                bucket.trim();
            }
            mBuckets.put(customer.name(), bucket);
        }
    }

    /** Returns what was charged since the last call, to be told to all other entries. */
    public Map<String, Long> takeUnreported() {
        mUnreported.values().removeIf(tokens -> tokens == 0);
        if (mUnreported.isEmpty()) {
            return Map.of();
        }
        Map<String, Long> taken = Map.copyOf(mUnreported);
        mUnreported.clear();
        return taken;
    }

    private double share() {
        return (double) mReachable / mEntries;
    }

    private final class Bucket {
        private GatewayCustomer mQuota;
        private final DecayedRate mAsked = new DecayedRate(ASKED_HALF_LIFE_NANOS);
        private double mLevel;
        private long mRefilledNanos;

        /** Starts with an entry's equal part, as the others may have used theirs. */
        Bucket(GatewayCustomer quota, long nowNanos) {
            mQuota = quota;
            mLevel = capacity() / mEntries;
            mRefilledNanos = nowNanos;
        }

        double capacity() {
            return mQuota.burst() * mFactor * share();
        }

        /**
         * Returns tokens that may be used beyond the quota, so that uses not yet heard of refuse
         * nothing that is within it: part of the tolerance, less what all entries may admit before
         * they hear of each other.
         */
        double slack(long nowNanos) {
            double unheard = mAsked.perSecond(nowNanos) * mReachable * EXCHANGE_SECONDS;
            return Math.max(0, mToleranceTokens * SLACK_PART * share() - unheard);
        }

        double rate() {
            return mQuota.tokensPerSecond() * mFactor * share();
        }

        void refill(long nowNanos) {
            if (nowNanos > mRefilledNanos) {
                mLevel += rate() * (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
                mRefilledNanos = nowNanos;
                trim();
            }
        }

        void trim() {
            mLevel = Math.min(mLevel, capacity());
        }
    }
}
