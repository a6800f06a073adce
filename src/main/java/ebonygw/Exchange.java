package ebonygw;

import ebonygw.access.ResolvedRequest;
import ebonygw.protocol.NodeId;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import java.util.HashSet;
import java.util.Set;

/** An open request of a caller at the entry process. Not thread-safe. */
final class Exchange {
    /** State of the request. */
    enum Phase {
        /** Waits for tokens of its customer's share. */
        ADMITTING,
        /** Waits for an available target. */
        PARKED,
        /** An attempt has been sent to a target process. */
        SENT,
        /** Ended and removed. */
        CLOSED
    }

    final long mId;
    final ResolvedRequest mResolved;
    final long mReceivedNanos;
    final long mDeadlineNanos;
    final Set<NodeId> mExcludedTargets = new HashSet<>();
    ResponseAssembler mResponse = new ResponseAssembler();
    Phase mPhase = Phase.ADMITTING;
    Work mWork;
    NodeId mTarget;
    long mTargetIncarnation;
    long mSentNanos;
    long mParkedSinceNanos;

    /** Whether the current attempt has been charged and the charge is not settled yet. */
    boolean mCharged;

    /** The worst verdict of the attempts that have ended. */
    Verdict mWorstVerdict = Verdict.NOT_RUN;

    boolean mResponseStarted;
    boolean mCallerGone;
    boolean mCancelSent;

    /** Tokens that the target reported, -1 if not known. */
    long mTokensUsed = -1;

    Exchange(long id, ResolvedRequest resolved, Work work, long receivedNanos, long deadlineNanos) {
        mId = id;
        mResolved = resolved;
        mWork = work;
        mReceivedNanos = receivedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    /** Returns the customer's name. */
    String customer() {
        return mWork.customer();
    }

    /** Returns the verdict of the request if its current attempt ends with {@code current}. */
    Verdict worstVerdict(Verdict current) {
        return mWorstVerdict.compareTo(current) > 0 ? mWorstVerdict : current;
    }
}
