package ebonygw.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a complete request body without blocking, within a size limit and a time limit.
 *
 * <p>Used on the exchange's IO thread, after the exchange has been dispatched.
 */
final class BodyReader {
    private static final int INITIAL_BYTES = 1024;
    private static final byte[] EMPTY = {};

    private final HttpServerExchange mExchange;
    private final int mMaxBytes;
    private final Consumer<byte[]> mOnComplete;
    private final Consumer<Fault> mOnFault;
    private byte[] mBody = EMPTY;
    private int mLength;
    private boolean mDone;
    private XnioIoThread.Key mTimer;
    private StreamSourceChannel mChannel;

    /**
     * Creates a reader, which calls exactly one of the consumers, once.
     *
     * @param maxBytes maximum length of the body
     * @param onComplete accepts the complete body
     * @param onFault accepts the reason why the body could not be read
     */
    BodyReader(
            HttpServerExchange exchange,
            int maxBytes,
            Consumer<byte[]> onComplete,
            Consumer<Fault> onFault) {
        mExchange = exchange;
        mMaxBytes = maxBytes;
        mOnComplete = onComplete;
        mOnFault = onFault;
    }

    /** Why a body could not be read. */
    enum Fault {
        /** The connection was lost. */
        LOST,
        /** The body was not complete within the time limit. */
        SLOW,
        /** The body exceeds the size limit. */
        TOO_LARGE
    }

    /** Starts reading; the time limit starts now. */
    void start(long timeoutNanos) {
        long length = mExchange.getRequestContentLength();
        if (length > mMaxBytes) {
            fail(Fault.TOO_LARGE);
            return;
        }
        if (length > 0) {
            mBody = new byte[(int) length];
        }
        mChannel = mExchange.getRequestChannel();
        read();
        if (!mDone) {
            mTimer =
                    mExchange
                            .getIoThread()
                            .executeAfter(
                                    () -> fail(Fault.SLOW), timeoutNanos, TimeUnit.NANOSECONDS);
            mChannel.getReadSetter().set(channel -> read());
            mChannel.resumeReads();
        }
    }

    /** Appends bytes to the body; returns false if it would exceed the size limit. */
    private boolean append(ByteBuffer buffer) {
        int count = buffer.remaining();
        if (mLength + count > mMaxBytes) {
            return false;
        }
        if (mLength + count > mBody.length) {
            int doubled = Math.max(INITIAL_BYTES, 2 * mBody.length);
            mBody = Arrays.copyOf(mBody, Math.max(doubled, mLength + count));
        }
        buffer.get(mBody, mLength, count);
        mLength += count;
        return true;
    }

    private void end() {
        mDone = true;
        if (mTimer != null) {
            mTimer.remove();
        }
    }

    private void fail(Fault fault) {
        if (!mDone) {
            end();
            if (mChannel != null) {
                mChannel.suspendReads();
            }
            mOnFault.accept(fault);
        }
    }

    private void read() {
        if (mDone) {
            return;
        }
        try (PooledByteBuffer pooled = mExchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = mChannel.read(buffer);
            while (count > 0) {
                buffer.flip();
                if (!append(buffer)) {
                    fail(Fault.TOO_LARGE);
                    return;
                }
                buffer.clear();
                count = mChannel.read(buffer);
            }
            if (count < 0) {
                succeed();
            }
        } catch (IOException cause) {
            fail(Fault.LOST);
        }
    }

    private void succeed() {
        end();
        mOnComplete.accept(mLength == mBody.length ? mBody : Arrays.copyOf(mBody, mLength));
    }
}
