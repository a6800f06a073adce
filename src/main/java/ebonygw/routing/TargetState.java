package ebonygw.routing;

import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** What an entry knows of one target. Not thread-safe. */
final class TargetState {
    /** Concurrency assumed before the first report. */
    private static final int UNKNOWN_CONCURRENCY = 4;

    final NodeId mId;
    final long mHash;
    final String mServes;
    final TargetHealth mHealth;
    Member mMember;
    boolean mSameRegion;
    long mRoundTripNanos;
    long mMarginalRateDueNanos = Long.MIN_VALUE;
    List<AdapterVersion> mResident = List.of();
    List<AdapterVersion> mLoading = List.of();
    private final RouterOptions mOptions;
    private long mIncarnation;
    private long mReportSequence = -1;
    private int mReportedLoad;
    private int mConcurrency = UNKNOWN_CONCURRENCY;
    private int mOutstanding;
    private int mSentSinceReport;
    private int mEndedSinceReport;
    private long mBusyUntilNanos = Long.MIN_VALUE;

    TargetState(Member member, RouterOptions options) {
        mId = member.id();
        mHash = LongHashFunction.xx().hashChars(member.id().name());
        mServes = member.serves();
        mHealth = new TargetHealth(options);
        mOptions = options;
        mIncarnation = member.incarnation();
        update(member);
    }

    int concurrency() {
        return mConcurrency;
    }

    boolean isBusy(long nowNanos) {
        return nowNanos < mBusyUntilNanos;
    }

    boolean isLive() {
        return mMember.state() == MemberState.LIVE;
    }

    /** Returns whether the target may get work when no other target can take it. */
    boolean isUsableAsFallback() {
        return mMember.state() == MemberState.LIVE || mMember.state() == MemberState.SUSPECTED;
    }

    /**
     * Returns the estimated number of requests at the target: the reported load, corrected by the
     * attempts that this entry sent and that ended since, but at least the entry's own attempts.
     */
    int load() {
        return Math.max(
                mOutstanding, Math.max(0, mReportedLoad + mSentSinceReport - mEndedSinceReport));
    }

    void onBusy(long untilNanos) {
        mBusyUntilNanos = untilNanos;
    }

    void onEnded() {
        mOutstanding = Math.max(0, mOutstanding - 1);
        mEndedSinceReport++;
    }

    /** Discards the reports of a former process or connection. */
    void onDown() {
        mReportedLoad = 0;
        mSentSinceReport = 0;
        mEndedSinceReport = 0;
        mOutstanding = 0;
        mReportSequence = -1;
    }

    /** Applies a report if it is newer than the last one; returns whether it is. */
    boolean onReport(long incarnation, TargetReport report, long nowNanos) {
        if (incarnation < mIncarnation
                || incarnation == mIncarnation && report.sequence() <= mReportSequence) {
            return false;
        }
        if (incarnation > mIncarnation) {
            onDown();
            mHealth.onColdStart(nowNanos);
            mIncarnation = incarnation;
        }
        mReportSequence = report.sequence();
        mReportedLoad = report.running() + report.queued();
        mConcurrency = Math.max(1, report.concurrency());
        mSentSinceReport = 0;
        mEndedSinceReport = 0;
        return true;
    }

    void onSent() {
        mOutstanding++;
        mSentSinceReport++;
    }

    int outstanding() {
        return mOutstanding;
    }

    void update(Member member) {
        mMember = member;
        mSameRegion = mOptions.locality().sameRegion(member.locality());
        if (!mSameRegion) {
            mRoundTripNanos = mOptions.crossRegionRoundTripNanos();
        } else if (!mOptions.locality().sameDataCenter(member.locality())) {
            mRoundTripNanos = mOptions.crossDataCenterRoundTripNanos();
        } else {
            mRoundTripNanos = 0;
        }
    }
}
