package ebonygw.http;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A connection to an HTTP server, which carries one exchange at a time.
 *
 * <p>A response belongs to the request in progress if it bears its id, as a connection never
 * carries an id twice. One with another id is surplus: it is read to its end and dropped, within
 * limits, and the exchange goes on. One without id where the request has one proves nothing and is
 * malformed. Only the order on the connection matches the responses to requests without ids; as the
 * server may repeat a refusal, one of them is the last response of its connection.
 *
 * <p>Limits are checked where bytes are taken from the socket: after each buffer the decoder and
 * the limits have seen all of it. A connection takes a few buffers for each event of its socket and
 * then lets the IO thread go on with timers and other connections, however much has arrived. Used
 * on the IO thread only.
 */
final class HttpConnection {
    private static final ByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

    /** Buffers read for each event of the socket. */
    private static final int MAX_READS_PER_EVENT = 4;

    /** Maximum length of the heads of a response, that of the server for callers. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** Maximum framing beside that of the body: the heads, and a trailer of the same length. */
    private static final int MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES;

    /** Maximum framing for each byte of the body: a chunk of one byte has five others. */
    private static final int MAX_FRAMING_PER_BODY_BYTE = 8;

    /** Maximum number of surplus responses within an exchange. */
    private static final int MAX_SURPLUS_RESPONSES = 8;

    /** Maximum length of the surplus responses within an exchange: a few long responses. */
    private static final int MAX_SURPLUS_BYTES = 1 << 20;

    /** Receives the response of an exchange; an end or a failure is the last call. */
    interface Exchange {
        /**
         * A head has arrived that is not proved to belong to the request in progress; its response
         * is dropped or malformed.
         *
         * @param id id in the response, empty if it has none
         */
        void unproved(String id, HttpResponse response);

        /** The final head has arrived. */
        void started(HttpResponse response);

        /** Bytes of the body have arrived, never empty. */
        void part(ByteString data);

        /** The response is complete; the connection belongs to the exchange until released. */
        void ended();

        /** The connection was lost, or the server has closed it within the response. */
        void lost(String cause);

        /** The response is not valid HTTP or exceeds a limit. */
        void malformed(String fault);
    }

    private final StreamConnection mStream;
    private final ConduitStreamSourceChannel mSource;
    private final ConduitStreamSinkChannel mSink;
    private final ByteBufferPool mBuffers;
    private final ResponseMemory mMemory;

    /** Field with the id of a request, which its response repeats, empty if there is none. */
    private final String mRequestIdField;

    private final CarriedIds mCarriedIds = new CarriedIds();
    private final ResponseDecoder mDecoder = new ResponseDecoder(MAX_HEAD_BYTES);
    private final EmbeddedChannel mCodec;

    /** The exchange in progress, null if the connection is idle. */
    private Exchange mExchange;

    /** Id of the request in progress, empty if it has none. */
    private String mRequestId = "";

    private long mExchangeCount;

    /**
     * Whether a HEAD request was sent; a copy of its response has no body, whatever its fields say.
     */
    private boolean mCarriedHead;

    /** Whether a request without id was refused. */
    private boolean mRefusedWithoutId;

    /** Whether the response being read is surplus. */
    private boolean mDropping;

    /** Number and length of the surplus responses within the exchange in progress. */
    private int mSurplusCount;

    private long mSurplusBytes;

    /** The part of the request that is being written, null if there is none. */
    private ByteBuf mUnsent;

    private boolean mRequestSent;

    /** Whether bytes followed the complete response. */
    private boolean mHasUnexpectedBytes;

    private boolean mStarted;
    private boolean mPaused;

    /** Whether only the end of the connection ends the body of the response. */
    private boolean mEndsWithConnection;

    private final long mOpenedNanos;

    /** When the last response was complete, or the connection was opened. */
    private long mRespondedNanos;

    private long mReadBytes;
    private long mBodyBytes;

    /** Bytes read since the decoder last returned something, all held in memory. */
    private long mUnparsedBytes;

    private long mReservedBytes;

    /**
     * Takes over an open connection.
     *
     * @param memory budget for what has been read and not decoded
     * @param requestIdField field with the id of a request, which its response repeats, or empty
     * @param nowNanos the current time
     * @param onClosed called once, when the connection is closed by either side
     */
    HttpConnection(
            StreamConnection stream,
            ByteBufferPool buffers,
            ResponseMemory memory,
            String requestIdField,
            long nowNanos,
            Consumer<HttpConnection> onClosed) {
        mOpenedNanos = nowNanos;
        mRespondedNanos = nowNanos;
        mStream = stream;
        mSource = stream.getSourceChannel();
        mSink = stream.getSinkChannel();
        mBuffers = buffers;
        mMemory = memory;
        mRequestIdField = requestIdField;
        mCodec = new EmbeddedChannel(mDecoder, new HttpRequestEncoder());
        mCodec.config().setAllocator(HEAP);
        mSource.setReadListener(source -> read());
        mSink.setWriteListener(sink -> write());
        stream.setCloseListener(closed -> onClosed(onClosed));
        mSource.resumeReads();
    }

    /**
     * Resets the connection, which also discards bytes of the request that have not been delivered
     * yet, so that the server does not process a cancelled request later.
     */
    void abort() {
        mExchange = null;
        try {
            mStream.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException cause) {
            Logger.debug("event=abort_failed cause=\"{}\"", cause);
        }
        IoUtils.safeClose(mStream);
    }

    /** Closes the connection in an orderly way. */
    void close() {
        mExchange = null;
        IoUtils.safeClose(mStream);
    }

    /** Returns the number of requests that were sent on the connection. */
    long exchangeCount() {
        return mExchangeCount;
    }

    boolean isOpen() {
        return mStream.isOpen();
    }

    /** Returns when the connection was opened. */
    long openedNanos() {
        return mOpenedNanos;
    }

    /** Returns when the last response was complete, or the connection was opened. */
    long respondedNanos() {
        return mRespondedNanos;
    }

    /**
     * Returns whether another exchange may follow: the last one is complete in both directions, the
     * server has sent nothing beside its response, a copy of that would be told from the next one,
     * and there is room for another id.
     */
    boolean isReusable() {
        return mStream.isOpen()
                && mRequestSent
                && !mHasUnexpectedBytes
                && !mEndsWithConnection
                && !mRefusedWithoutId
                && mSurplusCount == 0
                && !mCarriedIds.isFull();
    }

    /**
     * Returns whether a request may be sent on the connection when it is idle: one with the same id
     * could get a copy of the earlier response, which nothing tells from its own.
     */
    boolean mayCarry(String requestId) {
        return requestId.isEmpty() || !mCarriedIds.contains(requestId);
    }

    /**
     * Returns whether nothing has arrived on an idle connection. Bytes that came before a request
     * cannot be its response; the connection is closed in that case.
     */
    boolean isQuiet() {
        read();
        return mStream.isOpen();
    }

    /** Marks the connection as idle after a complete response. */
    void release(long nowNanos) {
        mExchange = null;
        mRespondedNanos = nowNanos;
        mPaused = false;
        mSource.resumeReads();
    }

    /**
     * Sends a request on an idle connection; reports its response to the exchange.
     *
     * @param requestId id of the request, empty if it has none
     * @throws IllegalArgumentException if the connection has carried the id
     */
    void send(FullHttpRequest request, String requestId, Exchange exchange) {
        if (!mayCarry(requestId)) {
            throw new IllegalArgumentException("the connection has carried " + requestId);
        }
        mExchange = Objects.requireNonNull(exchange, "exchange");
        mExchangeCount++;
        mRequestId = requestId;
        if (!requestId.isEmpty()) {
            mCarriedIds.add(requestId);
        }
        mCarriedHead |= request.method().equals(HttpMethod.HEAD);
        mDropping = false;
        mSurplusCount = 0;
        mSurplusBytes = 0;
        mRequestSent = false;
        mHasUnexpectedBytes = false;
        mStarted = false;
        mPaused = false;
        mEndsWithConnection = false;
        mReadBytes = 0;
        mBodyBytes = 0;
        mUnparsedBytes = 0;
        mDecoder.expectResponse(request.method().name());
        mCodec.writeOutbound(request);
        write();
    }

    /** Sets that the body of the response in progress ends with the connection. */
    void setEndsWithConnection() {
        mEndsWithConnection = true;
    }

    /** Resumes or pauses reading the response. */
    void setReading(boolean on) {
        mPaused = !on;
        if (on) {
            mSource.resumeReads();
        } else {
            mSource.suspendReads();
        }
    }

    private void checkLimits(Exchange exchange) {
        long framing = mReadBytes - mBodyBytes;
        if (mDropping && mSurplusBytes + mReadBytes > MAX_SURPLUS_BYTES) {
            exchange.malformed("surplus responses are too long");
        } else if (!mStarted && !mDropping && framing > MAX_HEAD_BYTES) {
            exchange.malformed("the head is too long, bytes=" + framing);
        } else if (framing > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * mBodyBytes) {
            exchange.malformed("the framing is too long, bytes=" + framing);
        } else {
            long reserved = mMemory.reserve(mReservedBytes, mUnparsedBytes);
            if (reserved < 0) {
                exchange.malformed("too many long heads at once, bytes=" + mUnparsedBytes);
            } else {
                mReservedBytes = reserved;
            }
        }
    }

    /** Decodes a buffer and reports what it completes, all bytes of the body as one part. */
    private void decode(ByteBuffer bytes) {
        Exchange exchange = mExchange;
        mReadBytes += bytes.remaining();
        mUnparsedBytes += bytes.remaining();
        ByteString body = ByteString.EMPTY;
        boolean ended = false;
        String fault = "";
        try {
            mCodec.writeInbound(Unpooled.copiedBuffer(bytes));
        } catch (RuntimeException cause) {
            fault = "cannot be decoded: " + cause;
        }
        HttpObject next = mCodec.readInbound();
        while (next != null && fault.isEmpty() && mExchange == exchange) {
            if (next.decoderResult().isFailure()) {
                fault = String.valueOf(next.decoderResult().cause().getMessage());
            } else {
                mUnparsedBytes = mDecoder.undecodedBytes();
                if (next instanceof HttpResponse response) {
                    fault = start(exchange, response);
                }
                if (next instanceof HttpContent content && mDropping) {
                    drop(content);
                } else if (next instanceof HttpContent content && mStarted) {
                    body = body.concat(ByteString.copyFrom(content.content().nioBuffer()));
                    ended = next instanceof LastHttpContent;
                }
            }
            ReferenceCountUtil.release(next);
            // Behind a change of protocol the decoder passes on bytes instead of objects.
            next = ended || !fault.isEmpty() ? null : mCodec.readInbound();
        }
        if (mExchange != exchange) {
            return;
        }
        mBodyBytes += body.size();
        if (!body.isEmpty()) {
            exchange.part(body);
        }
        if (mExchange == exchange && !fault.isEmpty()) {
            exchange.malformed(fault);
        } else if (mExchange == exchange && ended) {
            end(exchange);
        } else if (mExchange == exchange) {
            checkLimits(exchange);
        }
    }

    /** Drops a part of a surplus response; after its end the next response may be the due one. */
    private void drop(HttpContent content) {
        mBodyBytes += content.content().readableBytes();
        if (content instanceof LastHttpContent) {
            long nextBytes = mDecoder.undecodedBytes();
            mSurplusBytes += mReadBytes - nextBytes;
            mReadBytes = nextBytes;
            mBodyBytes = 0;
            mDropping = false;
        }
    }

    private void end(Exchange exchange) {
        releaseMemory();
        mHasUnexpectedBytes = mDecoder.undecodedBytes() > 0 || mCodec.releaseInbound();
        exchange.ended();
    }

    private void lost(String cause) {
        Exchange exchange = mExchange;
        if (exchange == null) {
            close();
        } else {
            exchange.lost(cause);
        }
    }

    private void onConnectionEnd() {
        Exchange exchange = mExchange;
        if (exchange != null && mStarted && mEndsWithConnection) {
            releaseMemory();
            exchange.ended();
        } else {
            lost("closed by the server");
        }
    }

    private void read() {
        try (PooledByteBuffer pooled = mBuffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            Exchange exchange = mExchange;
            for (int reads = 0; reads < MAX_READS_PER_EVENT; reads++) {
                buffer.clear();
                int count = mStream.isOpen() ? mSource.read(buffer) : 0;
                if (count < 0) {
                    onConnectionEnd();
                    return;
                }
                if (count == 0) {
                    return;
                }
                if (exchange == null) {
                    Logger.debug("event=unexpected_bytes count={}", count);
                    close();
                    return;
                }
                buffer.flip();
                decode(buffer);
                if (mPaused || mExchange != exchange) {
                    return;
                }
            }
        } catch (IOException cause) {
            lost(cause.toString());
        }
    }

    private void releaseMemory() {
        mMemory.release(mReservedBytes);
        mReservedBytes = 0;
    }

    /**
     * Handles a head; informational ones precede the final one and have no body.
     *
     * @return why the head is malformed, empty if it is not
     */
    private String start(Exchange exchange, HttpResponse response) {
        HttpStatusClass statusClass = response.status().codeClass();
        if (statusClass == HttpStatusClass.UNKNOWN) {
            return "unknown status " + response.status().code();
        }
        if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            return "a change of protocol that was not requested";
        }
        if (statusClass == HttpStatusClass.INFORMATIONAL) {
            return "";
        }
        List<String> ids =
                mRequestIdField.isEmpty() ? List.of() : response.headers().getAll(mRequestIdField);
        String id = String.join(", ", ids);
        if (!id.equals(mRequestId)) {
            exchange.unproved(id, response);
            return startDropping(ids, response);
        }
        mStarted = true;
        mRefusedWithoutId =
                mRequestId.isEmpty()
                        && (statusClass == HttpStatusClass.CLIENT_ERROR
                                || statusClass == HttpStatusClass.SERVER_ERROR);
        exchange.started(response);
        return "";
    }

    /** Starts to drop a response, or returns why it cannot be dropped. */
    private String startDropping(List<String> ids, HttpResponse response) {
        if (ids.size() != 1 || ids.get(0).isEmpty()) {
            return "not one request id, ids=" + ids.size();
        }
        if (mCarriedHead || !Framing.of(response).hasEnd()) {
            return "a surplus response without a known length";
        }
        mSurplusCount++;
        if (mSurplusCount > MAX_SURPLUS_RESPONSES) {
            return "more than " + MAX_SURPLUS_RESPONSES + " surplus responses";
        }
        mDropping = true;
        return "";
    }

    private void write() {
        try {
            while (mUnsent != null || nextUnsent()) {
                while (mUnsent.isReadable()) {
                    int count = mSink.write(mUnsent.nioBuffer());
                    if (count == 0) {
                        mSink.resumeWrites();
                        return;
                    }
                    mUnsent.skipBytes(count);
                }
                releaseUnsent();
            }
            if (mSink.flush()) {
                mRequestSent = true;
                mSink.suspendWrites();
            } else {
                mSink.resumeWrites();
            }
        } catch (IOException cause) {
            lost(cause.toString());
        }
    }

    private boolean nextUnsent() {
        mUnsent = mCodec.readOutbound();
        return mUnsent != null;
    }

    private void onClosed(Consumer<HttpConnection> onClosed) {
        releaseMemory();
        releaseUnsent();
        mCodec.finishAndReleaseAll();
        onClosed.accept(this);
        if (mExchange != null) {
            lost("closed");
        }
    }

    private void releaseUnsent() {
        ReferenceCountUtil.release(mUnsent);
        mUnsent = null;
    }
}
