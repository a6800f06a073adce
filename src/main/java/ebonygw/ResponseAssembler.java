package ebonygw;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Reassembles the response of one attempt: puts its parts in order and detects when it is complete.
 *
 * <p>Parts may arrive more than once or out of order. Not thread-safe.
 */
final class ResponseAssembler {
    private static final long UNKNOWN = -1;

    private final TreeMap<Long, ByteString> mBuffered = new TreeMap<>();
    private long mNextIndex;
    private long mPartCount = UNKNOWN;
    private boolean mStarted;

    /** Accepts a part; returns the parts that can be forwarded now, in order. */
    List<ByteString> accept(long index, ByteString data) {
        if (index < mNextIndex) {
            return List.of();
        }
        mBuffered.putIfAbsent(index, data);
        return drain();
    }

    /** Accepts the end of the response, which states the total number of parts. */
    void end(long parts) {
        mPartCount = parts;
    }

    /** Returns whether the head, the end and all parts have been received and forwarded. */
    boolean isComplete() {
        return mStarted && mPartCount == mNextIndex;
    }

    /** Returns whether the head has been received. */
    boolean isStarted() {
        return mStarted;
    }

    /** Accepts the response head; returns the parts that arrived before it, in order. */
    List<ByteString> start() {
        mStarted = true;
        return drain();
    }

    private List<ByteString> drain() {
        if (!mStarted) {
            return List.of();
        }
        List<ByteString> ready = new ArrayList<>();
        ByteString part = mBuffered.remove(mNextIndex);
        while (part != null) {
            ready.add(part);
            mNextIndex++;
            part = mBuffered.remove(mNextIndex);
        }
        return ready;
    }
}
