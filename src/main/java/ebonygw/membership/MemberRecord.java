package ebonygw.membership;

import ebonygw.protocol.NodeId;
import java.util.concurrent.TimeUnit;

/**
 * What this process knows of one other: its announced state, and the signs of links, host list and
 * service.
 *
 * <p>The announced state belongs to an incarnation and only moves forward in the order joining,
 * live, leaving, gone; a greater incarnation replaces a smaller one with all its signs. So the
 * order in which late and repeated news arrive does not matter. {@link #state} is the one place
 * that decides the state that others see. Not thread-safe.
 */
final class MemberRecord {
    private static final long NEVER = Long.MIN_VALUE;
    private static final long LINK_LOST_NANOS = TimeUnit.SECONDS.toNanos(30);

    private Member mAnnounced;
    private boolean mLinkUp;
    private long mLinkLostNanos = NEVER;
    private long mHeardNanos = NEVER;
    private boolean mListedLeaving;
    private boolean mListed;
    private long mAbsentSinceNanos = NEVER;
    private boolean mRegistered;
    private boolean mLapsed;

    /** Creates a record of a process that was just heard of. */
    MemberRecord(Member announced) {
        mAnnounced = announced;
    }

    /** Returns the process in its announced state. */
    Member announced() {
        return mAnnounced;
    }

    /** Notes a sign of life that came directly from the process. */
    void heard(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation()) {
            mHeardNanos = nowNanos;
            mLapsed = false;
        }
    }

    NodeId id() {
        return mAnnounced.id();
    }

    /**
     * Returns whether a link was lost lately; a link lost longer ago and not replaced may just not
     * be wanted any more, and no work can go there anyway.
     */
    boolean isLinkLost(long nowNanos) {
        return mLinkLostNanos != NEVER && nowNanos - mLinkLostNanos < LINK_LOST_NANOS;
    }

    /** Returns whether all three sources agree that the process and its host are not there. */
    boolean isRemoved(long nowNanos, long removalNanos) {
        return mAbsentSinceNanos != NEVER
                && nowNanos - mAbsentSinceNanos >= removalNanos
                && mLapsed
                && !mLinkUp;
    }

    boolean linkUp() {
        return mLinkUp;
    }

    /** Notes that a link is lost. */
    void linkDown(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation() && mLinkUp) {
            mLinkUp = false;
            mLinkLostNanos = nowNanos;
        }
    }

    /** Notes that a link is up. */
    void linkUp(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation()) {
            mLinkUp = true;
            mLinkLostNanos = NEVER;
            heard(incarnation, nowNanos);
        }
    }

    /** Notes what the host list says; {@code incarnation} is 0 if the list does not know it. */
    void listed(boolean leaving, long incarnation) {
        mListed = true;
        mAbsentSinceNanos = NEVER;
        boolean known = mAnnounced.incarnation() != 0;
        boolean first = leaving && !mListedLeaving;
        mListedLeaving = leaving && (incarnation == 0 || incarnation == mAnnounced.incarnation());
        if (mListedLeaving && first && known) {
            merge(mAnnounced.withState(MemberState.LEAVING));
        }
    }

    /**
     * Takes in an announced state.
     *
     * @return whether it changed what is known
     */
    boolean merge(Member other) {
        if (other.incarnation() > mAnnounced.incarnation()) {
            replace(other);
            return true;
        }
        if (other.incarnation() < mAnnounced.incarnation()
                || rank(other.state()) <= rank(mAnnounced.state())) {
            return false;
        }
        mAnnounced = other;
        return true;
    }

    /** Returns the order of announced states within one incarnation. */
    static int rank(MemberState state) {
        switch (state) {
            case JOINING:
                return 0;
            case LIVE:
                return 1;
            case LEAVING:
                return 2;
            case GONE:
                return 3;
            default:
                return -1;
        }
    }

    /** Notes that the service holds, or no longer holds, the presence key of an incarnation. */
    void registered(boolean present, long incarnation) {
        if (incarnation != mAnnounced.incarnation()) {
            return;
        }
        mLapsed = !present && (mRegistered || mLapsed);
        mRegistered = present;
    }

    /** Returns the state in which others are to see the process. */
    MemberState state(long nowNanos, long suspectAfterNanos) {
        MemberState announced = mAnnounced.state();
        if (announced == MemberState.GONE || announced == MemberState.LEAVING) {
            return announced;
        }
        if (mListedLeaving) {
            return MemberState.LEAVING;
        }
        if (announced == MemberState.JOINING) {
            return announced;
        }
        boolean silent = mLinkUp && nowNanos - mHeardNanos > suspectAfterNanos;
        boolean lapsed = mLapsed && !mLinkUp;
        return silent || isLinkLost(nowNanos) || lapsed ? MemberState.SUSPECTED : MemberState.LIVE;
    }

    /** Notes that the host list does not name the host. */
    void unlisted(long nowNanos) {
        mListedLeaving = false;
        if (mListed && mAbsentSinceNanos == NEVER) {
            mAbsentSinceNanos = nowNanos;
        }
    }

    private void replace(Member other) {
        boolean leavingBefore = mListedLeaving && mAnnounced.incarnation() == 0;
        boolean leaves = leavingBefore && rank(other.state()) < rank(MemberState.LEAVING);
        mAnnounced = leaves ? other.withState(MemberState.LEAVING) : other;
        mLinkUp = false;
        mLinkLostNanos = NEVER;
        mHeardNanos = NEVER;
        mRegistered = false;
        mLapsed = false;
    }
}
