package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.Work;
import java.util.ArrayDeque;
import java.util.Deque;

/** One attempt at the target process. Not thread-safe. */
final class Run {
    /** Number of the call of an attempt that has not been sent to the target. */
    static final long NO_CALL = -1;

    final Work mWork;
    final NodeId mEntry;
    final long mDeadlineNanos;
    final Deque<ByteString> mWaiting = new ArrayDeque<>();
    long mCall = NO_CALL;
    long mStartedNanos;
    long mNextPart;
    long mCredit;
    boolean mEnded;
    long mTokensUsed = -1;
    boolean mCancelled;
    boolean mPaused;

    Run(Work work, NodeId entry, long deadlineNanos, long credit) {
        mWork = work;
        mEntry = entry;
        mDeadlineNanos = deadlineNanos;
        mCredit = credit;
    }

    /** Returns whether it has been sent to the target. */
    boolean called() {
        return mCall != NO_CALL;
    }
}
