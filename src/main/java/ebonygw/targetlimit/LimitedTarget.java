package ebonygw.targetlimit;

import ebonygw.log.LogLine;
import ebonygw.protocol.Locality;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * This entry's share of the requests to a target that is limited because it is cold, or because it
 * names a limit; if both, the least of the two limits is in force.
 *
 * <p>Not thread-safe.
 */
public final class LimitedTarget {
    /**
     * Maximum time for which an attempt may wait for a connection; it is withdrawn at the next
     * tick. Opening a connection takes 60 ms between regions.
     */
    public static final long MAX_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Maximum time between the withdrawal of a token and the sending of its request. Later the
     * bucket has been refilled meanwhile, so that a token that is returned would come on top and
     * exceed the limit.
     */
    static final long MAX_DELAY_NANOS = MAX_CONNECT_NANOS + ShareBucket.MAX_STEP_NANOS;

    /**
     * Seconds in which the tokens are withdrawn whose requests are sent within one second: some
     * waited for a connection.
     */
    static final double WINDOW_SECONDS = 1 + MAX_DELAY_NANOS / 1e9;

    /**
     * Time without news of a named limit after which entries without a share may ask the target
     * themselves: the time for which the limit counts.
     */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Requests by which entries without a share ask a silent target, as a part of its limit: at
     * most what faults may use of it.
     */
    private static final double PROBE_FRACTION = 0.25;

    /** Minimum time between the turns of two entries: more than a response and news of it take. */
    private static final long MIN_STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final TargetLimits mLimits;
    private final String mId;
    private final ColdState mCold;
    private String mIncarnation = "";
    private String mAddress = "";
    private Locality mLocality;
    private boolean mRegistered;

    /** Limit that the target names, {@link NamedLimit#UNLIMITED} if it names none. */
    private double mNamedPerSecond = NamedLimit.UNLIMITED;

    private long mNamedSinceNanos;

    /** This entry's share, null if it has none. */
    private ShareBucket mShare;

    /** Whether the share is a single request that asks whether the limit has ended. */
    private boolean mProbe;

    private long mLastProbeNanos = Long.MIN_VALUE / 4;

    /** Rate of the share that was last logged. */
    private double mLoggedPerSecond;

    private int mRank;
    private long mRankVersion = -1;
    private int mWaiting;

    /** When attempts that may still wait for a connection are withdrawn. */
    private final ArrayDeque<Long> mConnectDeadlines = new ArrayDeque<>();

    LimitedTarget(TargetLimits limits, String id) {
        mLimits = limits;
        mId = id;
        mCold = new ColdState(limits, id);
    }

    /**
     * Returns whether the target is limited and a new request may not be sent to it now. The token
     * of a request that waits for its adapter to be loaded there is reserved.
     */
    public boolean isClosed(long nowNanos) {
        return isLimited(nowNanos) && tokens(nowNanos) < 1 + mWaiting;
    }

    /**
     * Returns whether a request that waits at the target for its adapter has to be moved.
     *
     * @param resident whether the adapter has been loaded, so that the request can be sent
     */
    public boolean isClosedToWaiting(boolean resident, long nowNanos) {
        if (!isLimited(nowNanos)) {
            return false;
        }
        if (resident) {
            return tokens(nowNanos) < 1;
        }
        return mShare == null
                || !isCertain(nowNanos)
                || isNamed() && mWaiting > Math.max(1, mShare.burst());
    }

    /** Returns whether the target is cold, whether or not it also names a limit. */
    public boolean isCold(long nowNanos) {
        return mCold.isCold(nowNanos);
    }

    /** Returns whether the target gets a limited number of requests. */
    public boolean isLimited(long nowNanos) {
        return isNamed() || isCold(nowNanos);
    }

    /** Returns whether the target names a limit. */
    private boolean isNamed() {
        return mNamedPerSecond < NamedLimit.UNLIMITED;
    }

    /**
     * Returns the time until a share of the target is free, at this entry if it has one, and
     * otherwise at another; 0 if the target is not limited.
     */
    public long untilFreeNanos(long nowNanos) {
        if (!isLimited(nowNanos)) {
            return 0;
        }
        long untilUnlimited = isNamed() ? Long.MAX_VALUE : mCold.untilNanos() - nowNanos;
        boolean owned = mShare != null && !mProbe;
        double perSecond = owned ? mShare.perSecond() : limit(nowNanos).perSecond();
        double missing = owned ? Math.max(0, 1 + mWaiting - tokens(nowNanos)) : 1;
        return perSecond > 0
                ? Math.min(untilUnlimited, (long) Math.ceil(missing / perSecond * 1e9))
                : untilUnlimited;
    }

    /** Returns when this entry learnt of the limit in force. */
    public long sinceNanos(long nowNanos) {
        return isCold(nowNanos) ? mCold.receivedNanos() : mNamedSinceNanos;
    }

    /** Returns when the target is warm by its last registration. */
    public long warmNanos() {
        return mCold.untilNanos();
    }

    /** Returns what a withdrawal of a token was based on, for the line of the attempt. */
    public Map<String, Object> logFields(long nowNanos) {
        Map<String, Object> fields = new LinkedHashMap<>();
        String prefix = isCold(nowNanos) ? "cold_" : "limit_";
        if (isCold(nowNanos)) {
            fields.put("cold_ms", mCold.remainingMillis(nowNanos));
            fields.put("cold_age_ms", (nowNanos - mCold.receivedNanos()) / 1_000_000);
        }
        if (isNamed()) {
            fields.put("limit", mNamedPerSecond);
        }
        fields.put(prefix + "rate", mShare == null ? 0 : mShare.perSecond());
        fields.put(prefix + "tokens", tokens(nowNanos));
        return fields;
    }

    /** Registers that a request waits at the target for its adapter. */
    public void onWaiting() {
        mWaiting++;
    }

    /** Handles that a request waits no longer. */
    public void onWaitingEnded() {
        mWaiting = Math.max(0, mWaiting - 1);
    }

    /** Withdraws the token of a request that is being sent. */
    public LimitToken withdraw(long nowNanos) {
        if (!isLimited(nowNanos) || mShare == null) {
            return LimitToken.NONE;
        }
        ShareBucket share = mShare;
        share.withdraw(nowNanos);
        mConnectDeadlines.add(nowNanos + MAX_CONNECT_NANOS);
        mLimits.count(mProbe ? "probes" : "tokensWithdrawn");
        mLastProbeNanos = mProbe ? nowNanos : mLastProbeNanos;
        boolean named = isNamed();
        return (arrived, returnNanos) -> {
            // All requests that arrive count towards a limit that the target names.
            if (returnNanos - nowNanos <= MAX_DELAY_NANOS && !(arrived && named)) {
                share.giveBack();
                mLimits.count("tokensReturned");
            }
        };
    }

    /** Returns the state for diagnostics. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("remainingMillis", mCold.remainingMillis(nowNanos));
        dump.put("assumed", mCold.isAssumed());
        if (isNamed()) {
            dump.put("named", mNamedPerSecond);
            dump.put("silentMillis", silentNanos(nowNanos) / 1_000_000);
        }
        dump.put("perSecond", mShare == null ? 0 : mShare.perSecond());
        dump.put("tokens", tokens(nowNanos));
        dump.put("rank", mRank);
        dump.put("waiting", mWaiting);
        return dump;
    }

    /** Ends the share; a later one starts empty. */
    void endShare() {
        mShare = null;
        mProbe = false;
    }

    boolean hasShare() {
        return mShare != null;
    }

    String incarnation() {
        return mIncarnation;
    }

    /** Takes back the attempts that may still wait for a connection to the former address. */
    void onGone() {
        if (!mConnectDeadlines.isEmpty()) {
            mConnectDeadlines.clear();
            mLimits.withdrawWaiting(mAddress);
        }
    }

    /** Applies a registration. */
    void onRegistration(TargetRegistration registration, long nowNanos) {
        if (mRegistered && !registration.address().equals(mAddress)) {
            onGone();
        }
        if (mRegistered && !registration.locality().equals(mLocality)) {
            mShare = null;
            mRankVersion = -1;
        }
        mRegistered = true;
        mIncarnation = registration.incarnation();
        mAddress = registration.address();
        mLocality = registration.locality();
        mCold.onRegistration(registration, nowNanos);
    }

    /** Applies the limits in force and the present entries. */
    void refresh(long nowNanos) {
        boolean starts = mCold.refresh(nowNanos);
        double named = mLimits.named().perSecond(mIncarnation);
        if (named != mNamedPerSecond) {
            if (!isNamed()) {
                starts = true;
                mNamedSinceNanos = nowNanos;
            }
            mNamedPerSecond = named;
        }
        boolean limited = isLimited(nowNanos);
        if (starts || !limited) {
            mShare = null;
            mProbe = false;
        }
        if (starts) {
            // Attempts without a token would otherwise be sent when connections are open.
            mLimits.withdrawWaiting(mAddress);
        }
        while (!mConnectDeadlines.isEmpty() && mConnectDeadlines.peekFirst() <= nowNanos) {
            mConnectDeadlines.removeFirst();
            mLimits.withdrawWaiting(mAddress);
        }
        if (limited) {
            refreshShare(nowNanos);
        }
    }

    private boolean isCertain(long nowNanos) {
        return mLimits.entries().isCertain(nowNanos);
    }

    /** Returns the division of the limit in force, null if there is none. */
    private ShareLimit limit(long nowNanos) {
        int entries = mLimits.entries().count();
        return ShareLimit.least(
                isCold(nowNanos) ? ShareLimit.ofCold(mCold.perSecond(), entries) : null,
                isNamed() ? ShareLimit.ofNamed(mNamedPerSecond, entries) : null);
    }

    private void refreshShare(long nowNanos) {
        DesignatedEntries entries = mLimits.entries();
        boolean certain = entries.isCertain(nowNanos);
        if (certain && mRankVersion != entries.version()) {
            mRankVersion = entries.version();
            mRank = entries.rank(mId, mLocality);
        }
        ShareLimit limit = limit(nowNanos);
        boolean designated = certain && mRank < limit.shares();
        double perSecond = designated ? limit.perSecond() : 0;
        if (mProbe && designated) {
            mShare = null;
            mProbe = false;
        }
        if (perSecond <= 0) {
            refreshProbe(certain, limit, nowNanos);
        } else if (mShare == null) {
            // The tokens of the shares of a named limit become available one after another, so that
            // responses tell soon when it ends.
            double tokens = isNamed() ? -(double) mRank / limit.shares() : 0;
            mShare = new ShareBucket(perSecond, limit.burst(), tokens, nowNanos);
        } else {
            mShare.setLimit(perSecond, limit.burst(), nowNanos);
        }
        if (perSecond != mLoggedPerSecond) {
            mLimits.log(
                    LogLine.of(isCold(nowNanos) ? "cold_share_changed" : "limit_share_changed")
                            .with("target", mId)
                            .with("per_s", perSecond)
                            .with("previous", mLoggedPerSecond)
                            .with("rank", mRank)
                            .with("shares", limit.shares())
                            .with("entries", entries.count())
                            .with("certain", certain)
                            .with("view_age_ms", entries.viewAgeMillis(nowNanos)));
            mLoggedPerSecond = perSecond;
        }
    }

    /**
     * Permits a single request at an entry without a share if nothing has been heard of a named
     * limit for a while. Entries take turns by rank.
     */
    private void refreshProbe(boolean certain, ShareLimit limit, long nowNanos) {
        boolean due = false;
        if (certain && isNamed() && !isCold(nowNanos)) {
            double stepNanos = Math.max(MIN_STEP_NANOS, 1e9 / (PROBE_FRACTION * mNamedPerSecond));
            double turnNanos = SILENCE_NANOS + (mRank - limit.shares()) * stepNanos;
            due =
                    silentNanos(nowNanos) >= turnNanos
                            && nowNanos - mLastProbeNanos >= mLimits.entries().count() * stepNanos;
        }
        if (!due) {
            mShare = null;
            mProbe = false;
        } else if (!mProbe) {
            mProbe = true;
            mShare = new ShareBucket(0, 1, 1, nowNanos);
        }
    }

    private long silentNanos(long nowNanos) {
        return nowNanos - mLimits.named().confirmedNanos(mIncarnation);
    }

    /** Returns the tokens of this entry's share, 0 if it has none or may not use it. */
    private double tokens(long nowNanos) {
        return mShare == null || !isCertain(nowNanos) ? 0 : mShare.tokens(nowNanos);
    }
}
