package ebonygw;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the parts of one attempt's answer in order and says when the answer is whole.
 *
 * <p>Parts may come doubled or out of order. Not thread-safe.
 */
final class AnswerAssembler {
    private static final long UNKNOWN = -1;

    private final TreeMap<Long, ByteString> mEarly = new TreeMap<>();
    private long mNext;
    private long mTotal = UNKNOWN;
    private boolean mStarted;

    /** Takes a part; returns the parts that can be passed on now, in order. */
    List<ByteString> accept(long index, ByteString data) {
        if (index < mNext) {
            return List.of();
        }
        mEarly.putIfAbsent(index, data);
        return drain();
    }

    /** Takes the answer's end with its count of parts. */
    void end(long parts) {
        mTotal = parts;
    }

    /** Takes the answer's head; returns the parts that were waiting for it, in order. */
    List<ByteString> start() {
        mStarted = true;
        return drain();
    }

    /** Returns whether the head has been taken. */
    boolean started() {
        return mStarted;
    }

    /** Returns whether head, end and all parts between have been passed on. */
    boolean whole() {
        return mStarted && mTotal == mNext;
    }

    private List<ByteString> drain() {
        if (!mStarted) {
            return List.of();
        }
        List<ByteString> ready = new ArrayList<>();
        ByteString part = mEarly.remove(mNext);
        while (part != null) {
            ready.add(part);
            mNext++;
            part = mEarly.remove(mNext);
        }
        return ready;
    }
}
