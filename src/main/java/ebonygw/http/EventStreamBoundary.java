package ebonygw.http;

import com.google.protobuf.ByteString;

/**
 * Follows the bytes of a server-sent event stream and tells whether they end between two events.
 *
 * <p>An event ends with an empty line. Lines end with LF, CR LF or CR; lines that begin with a
 * colon are comments. Not thread-safe.
 */
final class EventStreamBoundary {
    private boolean mEventOpen;
    private boolean mLineEmpty = true;
    private boolean mComment;
    private boolean mAfterCarriageReturn;
    private boolean mAnyEvent;

    /** Returns whether at least one event has ended. */
    boolean hasEvents() {
        return mAnyEvent;
    }

    /** Returns whether the last event, or a line after it, has not ended. */
    boolean isInsideEvent() {
        return mEventOpen || !mLineEmpty;
    }

    /** Consumes the next bytes of the stream. */
    void accept(ByteString data) {
        for (int i = 0; i < data.size(); i++) {
            accept(data.byteAt(i));
        }
    }

    private void accept(byte next) {
        boolean secondOfPair = mAfterCarriageReturn && next == '\n';
        mAfterCarriageReturn = next == '\r';
        if (secondOfPair) {
            return;
        }
        if (next == '\n' || next == '\r') {
            endLine();
        } else if (mLineEmpty) {
            mLineEmpty = false;
            mComment = next == ':';
        }
    }

    private void endLine() {
        if (mLineEmpty) {
            mAnyEvent |= mEventOpen;
            mEventOpen = false;
        } else if (!mComment) {
            mEventOpen = true;
        }
        mLineEmpty = true;
    }
}
