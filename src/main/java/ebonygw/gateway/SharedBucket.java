package ebonygw.gateway;

import ebonygw.protocol.NodeId;
import ebonygw.scheduling.DecayedRate;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One customer's quota as an entry knows it: the level of the token bucket that all entries share,
 * and the share of it that this entry may use before the others receive its charges.
 *
 * <p>The share is this entry's part of the demand that entries report. The parts of all entries add
 * up to about one, so that what they admit at the same time adds up to at most the level. Not
 * thread-safe.
 */
final class SharedBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Half-life of the demand: a few requests at an entry that gets one or two per second. */
    private static final long DEMAND_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Interval at which a standing is reported again although the demand is much the same. Reports
     * with each message were most of the traffic between entries.
     */
    private static final long STANDING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age after which the standing at another entry is ignored: that of an unreachable entry. */
    private static final long MAX_STANDING_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Weight of present demand in the share when the bucket is empty; the rest is the demand that
     * the others know. With 1, entries whose demand grows at the same time all enlarge their share
     * before they learn of each other; with 0, an entry that gets its first requests has none.
     */
    private static final double MIN_PRESENT_WEIGHT = 0.25;

    /**
     * Time before the arrival of a report for which the requested tokens of other entries are
     * assumed to be admitted without being known here; three messages over relays. Everything is
     * admitted while the level covers them.
     */
    private static final double TRANSMISSION_SECONDS = 0.5;

    /** Time in which the level moves to the median of the reported levels. */
    private static final double ALIGNMENT_SECONDS = 1;

    /** Deviation from the median that reports in transmission explain, in seconds of the rate. */
    private static final double DEVIATION_SECONDS = 0.5;

    /**
     * Number of requests that the burst covers from which on a request counts as small; all entries
     * must agree. Small requests go before others of the same priority.
     */
    private static final int SMALL_REQUESTS_PER_BURST = 128;

    /** Fraction of the burst from which on a correction is logged. */
    private static final double MIN_LOGGED_CORRECTION = 0.02;

    /** Part of the slack by which the reserve for the next more urgent priority grows. */
    private static final double PRIORITY_STEP = 0.2;

    /** Least urgent priority with a reserve of its own. */
    private static final int MAX_PRIORITY = 3;

    private final SplittableRandom mRandom;
    private final DecayedRate mDemand = new DecayedRate(DEMAND_HALF_LIFE_NANOS);
    private final DecayedRate mSmallDemand = new DecayedRate(DEMAND_HALF_LIFE_NANOS);
    private final ArrayDeque<Sample> mSamples = new ArrayDeque<>();
    private final RecentCharges mRecent = new RecentCharges();
    private final ReturnSchedule mReturns;
    private final Map<NodeId, Received> mStandings = new HashMap<>();
    private final Map<NodeId, SetAside> mSetAside = new HashMap<>();
    private double mRate;
    private double mCapacity;
    private double mSlack;
    private double mFraction = 1;
    private int mEntries = 1;
    private double mLevel;
    private long mRefilledNanos;
    private double mKnownDemand;
    private double mLowLevel;
    private double mHighLevel;
    private double mOtherDemand;
    private double mOtherSmallDemand;
    private double mDeviation;

    /**
     * What was set aside for the entry whose report is being applied beyond an equal part of the
     * burst: it covers charges of the time when the entry was unreachable, and expires otherwise.
     */
    private double mReturnCredit;

    private double mCorrected;
    private double mReportAge;
    private long mTickNanos;
    private boolean mReported;
    private long mReportedDemand;
    private long mReportedNanos;

    private record Received(QuotaStanding standing, double deviation, long nanos) {}

    private record Sample(long nanos, double demand, double level) {}

    private record SetAside(double tokens, long sinceNanos) {}

    /**
     * Creates a bucket without a limit.
     *
     * @param random source of the draws for requests larger than the share
     */
    SharedBucket(SplittableRandom random, long nowNanos) {
        mRandom = random;
        mReturns = new ReturnSchedule(random.split());
        mRefilledNanos = nowNanos;
    }

    /**
     * Admits and charges a request, or refuses it.
     *
     * @return 0 if it was charged, else after how many nanoseconds the caller should return
     */
    long charge(long tokens, int priority, long nowNanos) {
        refill(nowNanos);
        mDemand.add(tokens, nowNanos);
        boolean small = tokens <= mCapacity / SMALL_REQUESTS_PER_BURST;
        if (small) {
            mSmallDemand.add(tokens, nowNanos);
        }
        double slack = slack(priority, small);
        double share = share(nowNanos);
        double usable = mLevel + mRecent.charged(nowNanos) + slack;
        double room = Math.min(usable, share * usable) - mRecent.used(nowNanos);
        if (isCovered(tokens, slack, small, nowNanos)
                || tokens <= room
                || drawn(tokens, room, nowNanos)) {
            mLevel -= tokens;
            mRecent.addCharge(tokens);
            return 0;
        }
        double rate = Math.max(1, mRate * mFraction);
        double refillSeconds = Math.max(0, -(mLevel + slack)) / rate;
        double serviceSeconds = tokens / (rate * share);
        return mReturns.delayNanos(
                refillSeconds * NANOS_PER_SECOND, serviceSeconds * NANOS_PER_SECOND, nowNanos);
    }

    /**
     * Returns the tokens added by corrections since the last call, 0 if they are too few to log.
     */
    long drainCorrection() {
        long corrected = (long) mCorrected;
        if (Math.abs(corrected) < MIN_LOGGED_CORRECTION * mCapacity) {
            return 0;
        }
        mCorrected = 0;
        return corrected;
    }

    /** Returns the inputs of a decision as fields of a log line. */
    String explain(long nowNanos) {
        return "left="
                + available()
                + " share_permille="
                + Math.round(1_000 * share(nowNanos))
                + " demand="
                + Math.round(mDemand.perSecond(nowNanos))
                + " other_demand="
                + Math.round(mOtherDemand)
                + " unreported="
                + mRecent.charged(nowNanos)
                + " report_age_ms="
                + reportAgeMillis();
    }

    /** Returns the mean age of the reported demand, by tokens. */
    long reportAgeMillis() {
        return Math.round(mReportAge * 1_000);
    }

    /** Returns the number of entries that have reported the customer. */
    int standings() {
        return mStandings.size();
    }

    /** Returns the state as numbers for diagnostics. */
    Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("available", available());
        dump.put("demand", Math.round(mDemand.perSecond(nowNanos)));
        dump.put("otherDemand", Math.round(mOtherDemand));
        dump.put("sharePermille", Math.round(1_000 * share(nowNanos)));
        dump.put("unreported", mRecent.charged(nowNanos));
        dump.put("deviation", Math.round(mDeviation));
        dump.put("reportAgeMillis", reportAgeMillis());
        dump.put("setAsideEntries", mSetAside.size());
        return dump;
    }

    /** Fills the bucket: this entry is the only one. */
    void fill() {
        mLevel = mCapacity * mFraction;
    }

    long available() {
        return (long) mLevel;
    }

    void refund(long tokens) {
        mLevel = Math.min(mCapacity * mFraction, mLevel + tokens);
        mRecent.addCharge(-tokens);
    }

    /** Handles that the charges are sent to other entries. */
    void onSent(long nowNanos) {
        mRecent.onSent(nowNanos);
    }

    /** Applies what another entry has charged. */
    void onCharged(long tokens, long nowNanos) {
        refill(nowNanos);
        double covered = Math.max(0, Math.min(tokens, mReturnCredit));
        mReturnCredit = 0;
        mLevel = Math.min(mCapacity * mFraction, mLevel - tokens + covered);
    }

    /** Applies the limit. */
    void onLimit(double rate, double capacity, double slack, long nowNanos) {
        refill(nowNanos);
        mRate = rate;
        mCapacity = capacity;
        mSlack = slack;
        mLevel = Math.min(mLevel, mCapacity * mFraction);
    }

    /** Applies the number of reachable entries and of all entries. */
    void onEntries(int reachable, int entries, long nowNanos) {
        refill(nowNanos);
        onReachable(reachable, entries);
        mStandings.values().removeIf(it -> nowNanos - it.nanos() > MAX_STANDING_AGE_NANOS);
        mOtherDemand = mStandings.values().stream().mapToLong(it -> it.standing().demand()).sum();
        double weightedAges =
                mStandings.values().stream()
                        .mapToDouble(it -> it.standing().demand() * (nowNanos - it.nanos()))
                        .sum();
        mReportAge = mOtherDemand > 0 ? weightedAges / mOtherDemand / NANOS_PER_SECOND : 0;
        mTickNanos = nowNanos;
        mOtherSmallDemand =
                mStandings.values().stream().mapToLong(it -> it.standing().smallDemand()).sum();
        sample(nowNanos);
        double[] deviations =
                mStandings.values().stream().mapToDouble(Received::deviation).sorted().toArray();
        mDeviation = deviations.length == 0 ? 0 : deviations[(deviations.length - 1) / 2];
    }

    /** Applies the number of reachable entries and of all entries after a refill. */
    void onReachable(int reachable, int entries) {
        mEntries = entries;
        mFraction = (double) reachable / entries;
        mLevel = Math.min(mLevel, mCapacity * mFraction);
    }

    /** Sets aside the equal part of an entry that has become unreachable. */
    void onUnreachable(NodeId entry, int reachableBefore, long nowNanos) {
        refill(nowNanos);
        double tokens = Math.max(0, mLevel) / reachableBefore;
        mLevel -= tokens;
        mSetAside.put(entry, new SetAside(tokens, nowNanos));
        mStandings.remove(entry);
    }

    /** Takes back what was set aside for an entry; what it has charged is counted by its report. */
    void onReachableAgain(NodeId entry, long nowNanos) {
        refill(nowNanos);
        SetAside part = mSetAside.remove(entry);
        if (part != null) {
            double seconds = (nowNanos - part.sinceNanos()) / NANOS_PER_SECOND;
            double tokens = part.tokens() + mRate * seconds / mEntries;
            double kept = Math.min(tokens, mCapacity / mEntries);
            mLevel += kept;
            mReturnCredit = tokens - kept;
        }
    }

    /** Ends the report of an entry that has become reachable. */
    void dropReturnCredit() {
        mReturnCredit = 0;
    }

    /** Forgets an entry that is no longer registered. */
    void onRemoved(NodeId entry) {
        mSetAside.remove(entry);
        mStandings.remove(entry);
    }

    /** Starts without tokens, because the other entries may have used them. */
    void onJoined() {
        mLevel = Math.min(mLevel, 0);
    }

    void onStanding(NodeId entry, QuotaStanding standing, long nowNanos) {
        refill(nowNanos);
        double level = mLevel + mRecent.charged(nowNanos);
        double low = Math.min(mLowLevel, level);
        double high = Math.max(mHighLevel, level);
        double deviation = standing.level() - Math.max(low, Math.min(high, standing.level()));
        mStandings.put(entry, new Received(standing, deviation, nowNanos));
    }

    /** Returns what to report, null if nothing has changed since the customer became idle. */
    QuotaStanding standing(long nowNanos) {
        refill(nowNanos);
        long demand = Math.round(mDemand.perSecond(nowNanos));
        if (demand == 0 && !mReported) {
            return null;
        }
        boolean similar = Math.abs(demand - mReportedDemand) <= mReportedDemand / 4;
        if (demand > 0 && similar && nowNanos - mReportedNanos < STANDING_INTERVAL_NANOS) {
            return null;
        }
        mReportedNanos = nowNanos;
        mReportedDemand = demand;
        mReported = demand > 0;
        long small = Math.min(demand, Math.round(mSmallDemand.perSecond(nowNanos)));
        return new QuotaStanding(demand, small, (long) (mLevel + mRecent.charged(nowNanos)));
    }

    /**
     * Returns whether a request that exceeds the room is admitted: a draw whose chance is the part
     * of it that the room covers. It uses up the room either way, so that requests of any size get
     * on average what the share allows, without tokens being saved up at each entry.
     */
    private boolean drawn(long tokens, double room, long nowNanos) {
        if (room <= 0 || tokens > mLevel + 2 * mSlack * mFraction) {
            return false;
        }
        boolean admitted = mRandom.nextDouble() * tokens < room;
        if (!admitted) {
            mRecent.addStake(room, nowNanos);
        }
        return admitted;
    }

    /**
     * Returns whether a request is admitted regardless of shares: the level covers it and all that
     * other entries may have admitted of the demand that goes before it, or the request exceeds the
     * burst and the bucket is full.
     */
    private boolean isCovered(long tokens, double slack, boolean small, long nowNanos) {
        double rate = mRate * mFraction;
        double others = small ? Math.max(mOtherSmallDemand, rate) : mOtherDemand;
        double seconds =
                TRANSMISSION_SECONDS + mReportAge + (nowNanos - mTickNanos) / NANOS_PER_SECOND;
        double unknown = Math.min(others, mOtherDemand) * seconds;
        return mLevel + slack - unknown >= tokens
                || tokens > mCapacity && mFraction == 1 && mLevel >= mCapacity;
    }

    /** Returns this entry's part of the demand. */
    private double share(long nowNanos) {
        double full = Math.max(1, mCapacity * mFraction);
        double weight = Math.max(MIN_PRESENT_WEIGHT, Math.min(1, mLevel / full));
        double present = mDemand.perSecond(nowNanos);
        double own = mKnownDemand + (present - mKnownDemand) * weight;
        return own <= 0 ? 1.0 / mEntries : own / (own + mOtherDemand);
    }

    /** Returns the tokens that may be overdrawn; less urgent and large requests leave a reserve. */
    private double slack(int priority, boolean small) {
        double steps = Math.max(0, Math.min(MAX_PRIORITY, priority)) + (small ? 0 : 0.5);
        return mSlack * mFraction * (1 - PRIORITY_STEP * steps);
    }

    private void refill(long nowNanos) {
        double seconds = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        mRefilledNanos = nowNanos;
        double allowed = mRate * DEVIATION_SECONDS;
        double excess = mDeviation - Math.max(-allowed, Math.min(allowed, mDeviation));
        double correction = excess * Math.min(1, seconds / ALIGNMENT_SECONDS);
        mDeviation -= correction;
        mCorrected += correction;
        mLevel += mRate * mFraction * seconds + correction;
        mLevel = Math.min(mLevel, mCapacity * mFraction);
    }

    /** Keeps the demand and level of the times that the standings of other entries are from. */
    private void sample(long nowNanos) {
        double level = mLevel + mRecent.charged(nowNanos);
        mSamples.add(new Sample(nowNanos, mDemand.perSecond(nowNanos), level));
        while (nowNanos - mSamples.peek().nanos() > RecentCharges.LIFETIME_NANOS) {
            mKnownDemand = mSamples.remove().demand();
        }
        mLowLevel = mSamples.stream().mapToDouble(Sample::level).min().orElse(level);
        mHighLevel = mSamples.stream().mapToDouble(Sample::level).max().orElse(level);
    }
}
