package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.protocol.NodeId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Enforces customer quotas across all entries, each of which admits its part of the demand.
 *
 * <p>Each entry knows the level of every customer's bucket from the charges that all entries
 * report, and uses of it, in the time until the others know, at most its demand-proportional share.
 * For each entry that is unreachable it sets an equal part aside and accounts for the difference
 * when that entry is heard again. Not thread-safe.
 */
final class SharedQuota implements CustomerQuota {
    /** Fraction of the overage that is granted; the rest covers usage that is not reported yet. */
    private static final double OVERAGE_FRACTION = 0.5;

    /** Fraction of the tolerance that is granted as slack. */
    private static final double SLACK_FRACTION = 0.6;

    /** Interval at which corrections of a level are logged, a few lines for each disturbance. */
    private static final long CORRECTION_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Maximum magnitude of a reported number, which excludes overflow of sums. */
    private static final long MAX_REPORTED = 1_000_000_000_000L;

    private final double mToleranceTokens;
    private final double mOverageFactor;
    private final SplittableRandom mRandom;
    private final Consumer<LogLine> mLog;
    private final Map<String, SharedBucket> mBuckets = new HashMap<>();
    private final Map<String, Long> mUnreported = new HashMap<>();
    private final Set<NodeId> mUnreachable = new HashSet<>();

    /** Counts registrations for a while after they lapse, because their entries may still run. */
    private final FleetSize mSize = new FleetSize();

    private boolean mJoined;
    private int mReachable = 1;
    private int mEntries = 1;
    private final Set<NodeId> mInvalidSenders = new HashSet<>();
    private long mInvalidStandings;
    private long mNowNanos;
    private long mCorrectionsLoggedNanos;

    /**
     * Creates an instance without customers.
     *
     * @param toleranceTokens tokens by which all entries together may exceed a customer's quota
     * @param overage fraction by which a customer's rate and burst may be exceeded
     * @param seed seed of the draws for requests larger than a share and of the return times
     * @param log receives a line for each decision that does not belong to a request
     */
    SharedQuota(double toleranceTokens, double overage, long seed, Consumer<LogLine> log) {
        if (!(toleranceTokens >= 0 && overage >= 0)) {
            throw new IllegalArgumentException(
                    "toleranceTokens and overage must not be negative: "
                            + toleranceTokens
                            + ", "
                            + overage);
        }
        mToleranceTokens = toleranceTokens;
        mOverageFactor = 1 + overage * OVERAGE_FRACTION;
        mRandom = new SplittableRandom(seed);
        mLog = Objects.requireNonNull(log, "log");
    }

    @Override
    public long charge(String customer, long tokens, int priority, long nowNanos) {
        mNowNanos = Math.max(mNowNanos, nowNanos);
        SharedBucket bucket = mBuckets.get(customer);
        if (bucket == null) {
            return 0;
        }
        long retryNanos = bucket.charge(tokens, priority, nowNanos);
        if (retryNanos == 0) {
            mUnreported.merge(customer, tokens, Long::sum);
        }
        return retryNanos;
    }

    @Override
    public void refund(String customer, long tokens) {
        SharedBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.refund(tokens);
            mUnreported.merge(customer, -tokens, Long::sum);
        }
    }

    @Override
    public long available(String customer) {
        SharedBucket bucket = mBuckets.get(customer);
        return bucket == null ? 0 : bucket.available();
    }

    @Override
    public String explain(String customer, long nowNanos) {
        SharedBucket bucket = mBuckets.get(customer);
        return bucket == null ? "" : bucket.explain(nowNanos);
    }

    @Override
    public Map<String, ?> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        mBuckets.forEach((customer, bucket) -> dump.put(customer, bucket.dump(mNowNanos)));
        dump.put("invalidStandings", mInvalidStandings);
        return dump;
    }

    @Override
    public boolean accountsByEntry() {
        return true;
    }

    @Override
    public void onUsage(Map<String, Long> tokensByCustomer, long nowNanos) {
        tokensByCustomer.forEach(
                (customer, tokens) -> {
                    SharedBucket bucket = mBuckets.get(customer);
                    if (bucket != null) {
                        bucket.onCharged(tokens, nowNanos);
                    }
                });
        mBuckets.values().forEach(SharedBucket::dropReturnCredit);
    }

    @Override
    public void onReachable(NodeId entry, boolean reachable, long nowNanos) {
        if (reachable ? !mUnreachable.remove(entry) : !mUnreachable.add(entry)) {
            return;
        }
        int reachableBefore = mReachable;
        mReachable = Math.max(1, Math.min(mEntries, mReachable + (reachable ? 1 : -1)));
        mBuckets.values()
                .forEach(
                        bucket -> {
                            if (reachable) {
                                bucket.onReachableAgain(entry, nowNanos);
                            } else {
                                bucket.onUnreachable(entry, reachableBefore, nowNanos);
                            }
                            bucket.onReachable(mReachable, mEntries);
                        });
        mLog.accept(
                LogLine.of(reachable ? "quota_part_returned" : "quota_part_set_aside")
                        .with("entry", entry.name())
                        .with("reachable", mReachable)
                        .with("entries", mEntries));
    }

    @Override
    public void onRemoved(NodeId entry) {
        mUnreachable.remove(entry);
        mInvalidSenders.remove(entry);
        mBuckets.values().forEach(bucket -> bucket.onRemoved(entry));
    }

    @Override
    public void onEntries(int reachable, int entries, long nowNanos) {
        if (reachable < 1 || entries < reachable) {
            throw new IllegalArgumentException(
                    "reachable must be between 1 and " + entries + " entries: " + reachable);
        }
        mNowNanos = Math.max(mNowNanos, nowNanos);
        mReachable = reachable;
        mSize.onView(entries, true, 0, nowNanos);
        mEntries = mSize.entries();
        if (!mJoined && mEntries > 1) {
            mJoined = true;
            mBuckets.values().forEach(SharedBucket::onJoined);
        }
        mBuckets.values().forEach(bucket -> bucket.onEntries(mReachable, mEntries, nowNanos));
        if (nowNanos - mCorrectionsLoggedNanos >= CORRECTION_LOG_INTERVAL_NANOS) {
            mCorrectionsLoggedNanos = nowNanos;
            mBuckets.forEach(this::logCorrection);
        }
    }

    @Override
    public void onSettings(Collection<GatewayCustomer> customers, long nowNanos) {
        Objects.requireNonNull(customers, "customers");
        mNowNanos = Math.max(mNowNanos, nowNanos);
        Map<String, SharedBucket> kept = new HashMap<>(mBuckets);
        mBuckets.clear();
        for (GatewayCustomer customer : customers) {
            if (customer.tokensPerSecond() <= 0) {
                continue;
            }
            SharedBucket bucket = kept.get(customer.name());
            boolean created = bucket == null;
            if (created) {
                bucket = new SharedBucket(mRandom.split(), nowNanos);
                bucket.onEntries(mReachable, mEntries, nowNanos);
            }
            bucket.onLimit(
                    customer.tokensPerSecond() * mOverageFactor,
                    customer.burst() * mOverageFactor,
                    mToleranceTokens * SLACK_FRACTION,
                    nowNanos);
            if (created && !mJoined) {
                bucket.fill();
            }
            mBuckets.put(customer.name(), bucket);
        }
    }

    @Override
    public void onStanding(NodeId entry, String customer, QuotaStanding standing, long nowNanos) {
        SharedBucket bucket = mBuckets.get(customer);
        if (bucket == null || !standing.isReported()) {
            return;
        }
        if (standing.demand() > MAX_REPORTED
                || standing.smallDemand() < 0
                || standing.smallDemand() > standing.demand()
                || standing.level() > MAX_REPORTED
                || standing.level() < -MAX_REPORTED) {
            mInvalidStandings++;
            if (mInvalidSenders.add(entry)) {
                mLog.accept(
                        LogLine.of("quota_standing_invalid")
                                .with("entry", entry.name())
                                .with("customer", customer)
                                .with("demand", standing.demand())
                                .with("small_demand", standing.smallDemand())
                                .with("level", standing.level()));
            }
            return;
        }
        bucket.onStanding(entry, standing, nowNanos);
    }

    @Override
    public Map<String, QuotaStanding> standings(long nowNanos) {
        Map<String, QuotaStanding> standings = new HashMap<>();
        mBuckets.forEach(
                (customer, bucket) -> {
                    QuotaStanding standing = bucket.standing(nowNanos);
                    if (standing != null) {
                        standings.put(customer, standing);
                    }
                });
        return standings;
    }

    @Override
    public Map<String, Long> drainUnreported() {
        mUnreported.values().removeIf(tokens -> tokens == 0);
        mBuckets.values().forEach(bucket -> bucket.onSent(mNowNanos));
        Map<String, Long> drained = Map.copyOf(mUnreported);
        mUnreported.clear();
        return drained;
    }

    private void logCorrection(String customer, SharedBucket bucket) {
        long corrected = bucket.drainCorrection();
        if (corrected != 0) {
            mLog.accept(
                    LogLine.of("quota_level_corrected")
                            .with("customer", customer)
                            .with("tokens", corrected)
                            .with("left", bucket.available())
                            .with("reports", bucket.standings())
                            .with("report_age_ms", bucket.reportAgeMillis()));
        }
    }
}
