package ebonygw;

import ebonygw.access.ResolvedRequest;
import ebonygw.protocol.NodeId;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import java.util.HashSet;
import java.util.Set;

/** A caller's open request at the entry. Not thread-safe. */
final class Exchange {
    /** Where the request stands. */
    enum Phase {
        /** Waits for its customer's share. */
        ADMITTING,
        /** Waits for a target that can take it. */
        PARKED,
        /** An attempt is at a target process. */
        SENT,
        /** Ended; kept no longer. */
        CLOSED
    }

    final long mNumber;
    final ResolvedRequest mResolved;
    final long mAskedNanos;
    final long mDeadlineNanos;
    final Set<NodeId> mExcluded = new HashSet<>();
    AnswerAssembler mAnswer = new AnswerAssembler();
    Phase mPhase = Phase.ADMITTING;
    Work mWork;
    NodeId mTarget;
    long mTargetIncarnation;
    long mSentNanos;
    long mParkedNanos;

    /** Whether the charge of the current attempt has been taken and not yet settled. */
    boolean mCharged;

    /** The worst verdict of all attempts that have ended. */
    Verdict mEarlier = Verdict.NOT_RUN;

    boolean mAnswerStarted;
    boolean mCallerGone;
    boolean mCancelSent;
    long mTokensUsed = -1;

    Exchange(
            long number, ResolvedRequest resolved, Work work, long askedNanos, long deadlineNanos) {
        mNumber = number;
        mResolved = resolved;
        mWork = work;
        mAskedNanos = askedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    /** Returns the customer's name. */
    String customer() {
        return mWork.customer();
    }

    /** Returns the verdict of the whole request if its current attempt ends with one. */
    Verdict worst(Verdict current) {
        return mEarlier.compareTo(current) > 0 ? mEarlier : current;
    }
}
