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
 * Reads the whole body of a request within a bound and a time limit, without blocking.
 *
 * <p>Used on the exchange's IO thread, outside the call of its handler.
 */
final class BodyReader {
    private static final int FIRST_BYTES = 1024;
    private static final byte[] EMPTY = {};

    private final HttpServerExchange mExchange;
    private final int mMaxBytes;
    private final Consumer<byte[]> mWhole;
    private final Consumer<Fault> mFailed;
    private byte[] mBody = EMPTY;
    private int mLength;
    private boolean mDone;
    private XnioIoThread.Key mTimer;
    private StreamSourceChannel mChannel;

    /**
     * Creates a reader; exactly one of the consumers hears of the end.
     *
     * @param exchange the exchange
     * @param maxBytes longest body
     * @param whole takes the whole body
     * @param failed hears why there is none
     */
    BodyReader(
            HttpServerExchange exchange,
            int maxBytes,
            Consumer<byte[]> whole,
            Consumer<Fault> failed) {
        mExchange = exchange;
        mMaxBytes = maxBytes;
        mWhole = whole;
        mFailed = failed;
    }

    /** Why there is no whole body. */
    enum Fault {
        /** The connection is lost. */
        LOST,
        /** The time limit passed. */
        SLOW,
        /** The body is longer than its bound. */
        TOO_LARGE
    }

    /** Starts to read. */
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

    private boolean append(ByteBuffer buffer) {
        int count = buffer.remaining();
        if (mLength + count > mMaxBytes) {
            return false;
        }
        if (mLength + count > mBody.length) {
            int doubled = Math.max(FIRST_BYTES, 2 * mBody.length);
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
            mFailed.accept(fault);
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
                whole();
            }
        } catch (IOException cause) {
            fail(Fault.LOST);
        }
    }

    private void whole() {
        end();
        mWhole.accept(mLength == mBody.length ? mBody : Arrays.copyOf(mBody, mLength));
    }
}
