package ebonygw.membership;

import ebonygw.protocol.NodeId;
import java.util.concurrent.TimeUnit;

/**
 * What this process knows about one other process: its announced state, and what is observed of it
 * through connections, the host list and its registration in the key-value service.
 *
 * <p>The announced state belongs to an incarnation and only advances, in the order joining, live,
 * leaving, gone. A greater incarnation replaces a smaller one and discards what was observed of it.
 * Therefore delayed, repeated and reordered updates lead to the same result. {@link #state} alone
 * decides the state in which this process sees the other one. Not thread-safe.
 */
final class MemberRecord {
    private static final long NEVER = Long.MIN_VALUE;
    private static final long LINK_LOSS_MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private Member mAnnounced;
    private boolean mLinkUp;
    private long mLinkLostNanos = NEVER;
    private long mLastContactNanos = NEVER;
    private boolean mListedLeaving;
    private boolean mEverListed;
    private long mAbsentSinceNanos = NEVER;
    private boolean mRegistered;
    private boolean mRegistrationExpired;

    /** Creates a record of a process of which only the announced state is known. */
    MemberRecord(Member announced) {
        mAnnounced = announced;
    }

    /** Returns the process with its announced state. */
    Member announced() {
        return mAnnounced;
    }

    NodeId id() {
        return mAnnounced.id();
    }

    /**
     * Returns whether the connection was lost recently and not replaced. An older loss does not
     * count: the connection may simply not be needed any more, and no work is sent without one.
     */
    boolean isLinkLost(long nowNanos) {
        return mLinkLostNanos != NEVER && nowNanos - mLinkLostNanos < LINK_LOSS_MAX_AGE_NANOS;
    }

    boolean isLinkUp() {
        return mLinkUp;
    }

    /**
     * Returns whether all three sources agree that the process has ended: its host has been absent
     * from the host list for {@code removalNanos}, its registration has expired and no connection
     * is up.
     */
    boolean isRemoved(long nowNanos, long removalNanos) {
        return mAbsentSinceNanos != NEVER
                && nowNanos - mAbsentSinceNanos >= removalNanos
                && mRegistrationExpired
                && !mLinkUp;
    }

    /**
     * Applies an announced state.
     *
     * @return whether it was newer than the recorded one
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

    /** Records a message received directly from the process. */
    void onContact(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation()) {
            mLastContactNanos = nowNanos;
            mRegistrationExpired = false;
        }
    }

    /**
     * Records the loss of the connection to an incarnation; ignored if it is not the current one.
     */
    void onLinkDown(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation() && mLinkUp) {
            mLinkUp = false;
            mLinkLostNanos = nowNanos;
        }
    }

    /** Records a connection to an incarnation; ignored if it is not the current one. */
    void onLinkUp(long incarnation, long nowNanos) {
        if (incarnation == mAnnounced.incarnation()) {
            mLinkUp = true;
            mLinkLostNanos = NEVER;
            onContact(incarnation, nowNanos);
        }
    }

    /**
     * Records that the host list contains the host.
     *
     * @param leaving whether the list marks the host as leaving
     * @param incarnation incarnation of the process according to the list, 0 if the list does not
     *     know it
     */
    void onListed(boolean leaving, long incarnation) {
        mEverListed = true;
        mAbsentSinceNanos = NEVER;
        boolean known = mAnnounced.incarnation() != 0;
        boolean newlyLeaving = leaving && !mListedLeaving;
        mListedLeaving = leaving && (incarnation == 0 || incarnation == mAnnounced.incarnation());
        if (mListedLeaving && newlyLeaving && known) {
            merge(mAnnounced.withState(MemberState.LEAVING));
        }
    }

    /** Records whether the key-value service holds the presence key of an incarnation. */
    void onRegistration(boolean present, long incarnation) {
        if (incarnation != mAnnounced.incarnation()) {
            return;
        }
        mRegistrationExpired = !present && (mRegistered || mRegistrationExpired);
        mRegistered = present;
    }

    /** Records that the host list does not contain the host. */
    void onUnlisted(long nowNanos) {
        mListedLeaving = false;
        if (mEverListed && mAbsentSinceNanos == NEVER) {
            mAbsentSinceNanos = nowNanos;
        }
    }

    /** Returns the position of a state in the order of announced states, -1 if never announced. */
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

    /**
     * Returns the state in which this process sees the other one.
     *
     * <p>A live process is suspected if it is silent on an open connection, if its connection was
     * lost recently, or if its registration has expired and no connection is up.
     */
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
        boolean silent = mLinkUp && nowNanos - mLastContactNanos > suspectAfterNanos;
        boolean expired = mRegistrationExpired && !mLinkUp;
        return silent || isLinkLost(nowNanos) || expired ? MemberState.SUSPECTED : MemberState.LIVE;
    }

    /**
     * Replaces an incarnation by a greater one. If only the host list knew the process and marked
     * its host as leaving, the new incarnation is leaving too.
     */
    private void replace(Member other) {
        boolean leavingByList = mListedLeaving && mAnnounced.incarnation() == 0;
        boolean staysLeaving = leavingByList && rank(other.state()) < rank(MemberState.LEAVING);
        mAnnounced = staysLeaving ? other.withState(MemberState.LEAVING) : other;
        mLinkUp = false;
        mLinkLostNanos = NEVER;
        mLastContactNanos = NEVER;
        mRegistered = false;
        mRegistrationExpired = false;
    }
}
