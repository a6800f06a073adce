package ebonygw.caller;

import ebonygw.http.ReceivedBytes;
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

    /** Limits how long one request can occupy the IO thread. */
    private static final int MAX_READS_PER_EVENT = 4;

    /** Maximum framing beside that of the body's bytes: as much as for the head of a request. */
    private static final int MAX_FRAMING_BYTES = 64 * 1024;

    /** Maximum framing for each byte of the body: a chunk of one byte has five others. */
    private static final int MAX_FRAMING_PER_BODY_BYTE = 8;

    private static final byte[] EMPTY = {};

    private final HttpServerExchange mExchange;
    private final int mMaxBytes;
    private final Consumer<byte[]> mOnComplete;
    private final Consumer<Fault> mOnFault;
    private byte[] mBody = EMPTY;
    private int mLength;

    /** Bytes received on the connection before the body. */
    private long mReceivedBefore;

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
        /** The framing exceeds its limit, which no client needs. */
        FRAMING,
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
        mReceivedBefore = ReceivedBytes.of(mExchange);
        mChannel = mExchange.getRequestChannel();
        boolean drained = read();
        if (!mDone) {
            mTimer =
                    mExchange
                            .getIoThread()
                            .executeAfter(
                                    () -> fail(Fault.SLOW), timeoutNanos, TimeUnit.NANOSECONDS);
            mChannel.getReadSetter().set(channel -> readAgain());
            resume(drained);
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

    private boolean hasTooMuchFraming() {
        long framing = ReceivedBytes.of(mExchange) - mReceivedBefore - mLength;
        return framing > MAX_FRAMING_BYTES + (long) MAX_FRAMING_PER_BODY_BYTE * mLength;
    }

    /** Reads a few buffers; returns whether all that has arrived was read. */
    private boolean read() {
        try (PooledByteBuffer pooled = mExchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < MAX_READS_PER_EVENT && !mDone; reads++) {
                buffer.clear();
                int count = mChannel.read(buffer);
                buffer.flip();
                if (count < 0) {
                    succeed();
                } else if (!append(buffer)) {
                    fail(Fault.TOO_LARGE);
                } else if (hasTooMuchFraming()) {
                    fail(Fault.FRAMING);
                } else if (count == 0) {
                    return true;
                }
            }
        } catch (IOException cause) {
            fail(Fault.LOST);
        }
        return false;
    }

    private void readAgain() {
        if (!mDone) {
            boolean drained = read();
            if (!mDone) {
                resume(drained);
            }
        }
    }

    /** Waits for more bytes; those that the server holds already raise no event of the socket. */
    private void resume(boolean drained) {
        if (drained) {
            mChannel.resumeReads();
        } else {
            mChannel.wakeupReads();
        }
    }

    private void succeed() {
        end();
        mOnComplete.accept(mLength == mBody.length ? mBody : Arrays.copyOf(mBody, mLength));
    }
}
