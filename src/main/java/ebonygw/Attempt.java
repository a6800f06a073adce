package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.Work;
import java.util.ArrayDeque;
import java.util.Deque;

/** State of one attempt at the target process. Not thread-safe. */
final class Attempt {
    /** Correlation id of an attempt that has not been sent to the target. */
    static final long NOT_SENT = -1;

    final Work mWork;
    final NodeId mEntry;
    final long mDeadlineNanos;

    /** Response parts that wait for credit of the entry process. */
    final Deque<ByteString> mBufferedParts = new ArrayDeque<>();

    long mCorrelationId = NOT_SENT;

    /** When the attempt was sent to the target. */
    long mSentNanos;

    /** Index of the next response part to send to the entry process. */
    long mNextIndex;

    /** Response parts that may still be sent to the entry process. */
    long mCredit;

    /** Whether the target has completed the response. */
    boolean mResponseEnded;

    /** Tokens that the target reported, -1 if not known. */
    long mTokensUsed = -1;

    boolean mCancelled;

    /** Whether reading the response from the target is paused. */
    boolean mPaused;

    Attempt(Work work, NodeId entry, long deadlineNanos, long credit) {
        mWork = work;
        mEntry = entry;
        mDeadlineNanos = deadlineNanos;
        mCredit = credit;
    }

    /** Returns whether the attempt has been sent to the target. */
    boolean isSent() {
        return mCorrelationId != NOT_SENT;
    }
}
