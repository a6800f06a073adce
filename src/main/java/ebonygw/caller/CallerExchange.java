package ebonygw.caller;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.http.DisconnectMonitor;
import ebonygw.log.LogLine;
import ebonygw.request.Refusal;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * One request of a caller, from its arrival to the last byte of its response.
 *
 * <p>{@link #offer} may be called from any thread; all other methods run on the connection's IO
 * thread.
 */
final class CallerExchange {
    /** The server that an exchange belongs to. */
    interface Owner {
        /** Accepts an event for the control thread. */
        void post(EntryEvent event);

        /** The exchange has ended and holds no resources. */
        void released(CallerExchange exchange);
    }

    /**
     * Set on every response of unknown length, so that its end can be told from a lost connection.
     */
    private static final String CHUNKED = "chunked";

    private static final int MAX_BUFFERS_PER_WRITE = 64;

    private final ResponseStyle mStyle;
    private final long mExchangeId;
    private final String mRequestId;
    private final boolean mStreamed;
    private final int mBodyBytes;
    private final HttpServerExchange mExchange;
    private final XnioIoThread mThread;
    private final Owner mOwner;
    private final long mWriteTimeoutNanos;
    private final DisconnectMonitor mDisconnectMonitor;
    private final Queue<EntryEffect> mEffects = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mRunScheduled = new AtomicBoolean();
    private final ArrayDeque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private StreamSinkChannel mChannel;
    private XnioIoThread.Key mWriteTimer;
    private boolean mStarted;
    private boolean mEnded;
    private boolean mAborted;
    private boolean mReleased;

    CallerExchange(
            long exchangeId,
            String requestId,
            boolean streamed,
            int bodyBytes,
            HttpServerExchange exchange,
            Owner owner,
            long writeTimeoutNanos,
            ResponseStyle style) {
        mStyle = style;
        mExchangeId = exchangeId;
        mRequestId = requestId;
        mStreamed = streamed;
        mBodyBytes = bodyBytes;
        mExchange = exchange;
        mThread = exchange.getIoThread();
        mOwner = owner;
        mWriteTimeoutNanos = writeTimeoutNanos;
        mDisconnectMonitor = DisconnectMonitor.of(exchange.getConnection());
    }

    /** Returns the length of the request body. */
    int bodyBytes() {
        return mBodyBytes;
    }

    /** Returns the id of the exchange. */
    long exchangeId() {
        return mExchangeId;
    }

    /** Queues an effect for the IO thread. */
    void offer(EntryEffect effect) {
        mEffects.add(effect);
        if (mRunScheduled.compareAndSet(false, true)) {
            mThread.execute(this::run);
        }
    }

    /** Starts monitoring whether the caller disconnects. */
    void start() {
        mDisconnectMonitor.start(this::handleDisconnect);
    }

    /**
     * Ends a response that has already started. A streamed response gets a final error event; in
     * any case the connection is closed without the terminator, which marks the response as
     * incomplete.
     */
    private void abort(Refusal refusal) {
        mEnded = true;
        mAborted = true;
        LogLine.of("answer_broken")
                .with("request", mRequestId)
                .with("code", refusal.code())
                .with("run", refusal.verdict())
                .info();
        if (mStreamed) {
            String event = "event: error\ndata: " + ErrorBodies.json(refusal, mRequestId) + "\n\n";
            mUnsent.add(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void cancelTimer() {
        if (mWriteTimer != null) {
            mWriteTimer.remove();
            mWriteTimer = null;
        }
    }

    /**
     * Closes the connection after an incomplete response. Without chunks, as with HTTP/1.0, an
     * orderly close would mark the response as complete, so the connection is reset.
     */
    private void closeConnection() {
        release();
        ServerConnection connection = mExchange.getConnection();
        if (!mExchange.isHttp11() && connection instanceof AbstractServerConnection closing) {
            try {
                closing.getChannel().setOption(Options.CLOSE_ABORT, true);
            } catch (IOException cause) {
                Logger.debug("event=reset_failed request={} cause=\"{}\"", mRequestId, cause);
            }
        }
        IoUtils.safeClose(connection);
    }

    private void finish() throws IOException {
        if (mAborted) {
            if (mChannel.flush()) {
                closeConnection();
            } else {
                mChannel.resumeWrites();
            }
            return;
        }
        release();
        mChannel.shutdownWrites();
        if (!mChannel.flush()) {
            mChannel.getWriteSetter().set(this::flush);
            mChannel.resumeWrites();
        }
    }

    private void flush(StreamSinkChannel channel) {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
            }
        } catch (IOException cause) {
            Logger.debug("event=caller_lost request={} cause=\"{}\"", mRequestId, cause);
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private void handle(EntryEffect effect) {
        if (mEnded) {
            return;
        }
        if (effect instanceof EntryEffect.ResponsePart part) {
            if (mStarted) {
                mUnsent.add(part.data().asReadOnlyByteBuffer());
            }
        } else if (effect instanceof EntryEffect.ResponseEnded) {
            mEnded = mStarted;
        } else if (effect instanceof EntryEffect.ResponseStarted started) {
            startResponse(started.status(), started.headers());
        } else if (effect instanceof EntryEffect.ResponseAborted broken) {
            if (mStarted) {
                abort(broken.refusal());
            } else {
                refuse(broken.refusal());
            }
        } else if (effect instanceof EntryEffect.Refused refused) {
            refuse(refused.refusal());
        }
    }

    private void handleDisconnect() {
        if (mReleased) {
            return;
        }
        release();
        if (!mEnded) {
            mOwner.post(new EntryEvent.CallerDisconnected(mExchangeId));
        }
    }

    private void refuse(Refusal refusal) {
        if (mStarted) {
            abort(refusal);
            return;
        }
        mStarted = true;
        mEnded = true;
        Refusals.prepare(mExchange, refusal, mStyle);
        mUnsent.add(
                ByteBuffer.wrap(
                        ErrorBodies.json(refusal, mRequestId).getBytes(StandardCharsets.UTF_8)));
    }

    private void release() {
        if (!mReleased) {
            mReleased = true;
            cancelTimer();
            mDisconnectMonitor.stop();
            mOwner.released(this);
        }
    }

    /** Removes fully written buffers and reports them as consumed by the caller. */
    private void removeSent() {
        int sent = 0;
        while (!mUnsent.isEmpty() && !mUnsent.peek().hasRemaining()) {
            mUnsent.poll();
            sent++;
        }
        if (sent > 0) {
            cancelTimer();
            if (!mEnded) {
                mOwner.post(new EntryEvent.ResponsePartsConsumed(mExchangeId, sent));
            }
        }
    }

    private void run() {
        mRunScheduled.set(false);
        for (EntryEffect effect = mEffects.poll(); effect != null; effect = mEffects.poll()) {
            if (!mReleased) {
                handle(effect);
            }
        }
        if (!mReleased && mStarted) {
            write();
        }
    }

    private void startResponse(int status, Map<String, String> headers) {
        if (mStarted) {
            return;
        }
        mStarted = true;
        mExchange.setStatusCode(status);
        headers.forEach(
                (name, value) -> mExchange.getResponseHeaders().put(new HttpString(name), value));
        if (mStyle.addsRequestId()) {
            mExchange.getResponseHeaders().put(Refusals.REQUEST_ID, mRequestId);
        }
    }

    /** Resumes when the connection is writable; drops a caller that reads nothing for too long. */
    private void waitForWritable() {
        if (mWriteTimer == null) {
            mWriteTimer =
                    mThread.executeAfter(
                            () -> {
                                handleDisconnect();
                                IoUtils.safeClose(mExchange.getConnection());
                            },
                            mWriteTimeoutNanos,
                            TimeUnit.NANOSECONDS);
        }
        mChannel.resumeWrites();
    }

    private void write() {
        try {
            if (mChannel == null) {
                if (mEnded && !mAborted) {
                    long length = 0;
                    for (ByteBuffer unsent : mUnsent) {
                        length += unsent.remaining();
                    }
                    mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
                } else if (mExchange.isHttp11()) {
                    mExchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, CHUNKED);
                }
                mChannel = mExchange.getResponseChannel();
                mChannel.getWriteSetter().set(channel -> write());
            }
            writeUnsent();
        } catch (IOException cause) {
            Logger.debug("event=caller_lost request={} cause=\"{}\"", mRequestId, cause);
            handleDisconnect();
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private long writeGathered() throws IOException {
        if (mUnsent.size() == 1) {
            return mChannel.write(mUnsent.peek());
        }
        ByteBuffer[] gathered = new ByteBuffer[Math.min(MAX_BUFFERS_PER_WRITE, mUnsent.size())];
        Iterator<ByteBuffer> unsent = mUnsent.iterator();
        for (int i = 0; i < gathered.length; i++) {
            gathered[i] = unsent.next();
        }
        return mChannel.write(gathered, 0, gathered.length);
    }

    private void writeUnsent() throws IOException {
        removeSent();
        while (!mUnsent.isEmpty()) {
            ByteBuffer[] gathered =
                    mUnsent.stream().limit(MAX_BUFFERS_PER_WRITE).toArray(ByteBuffer[]::new);
            long count = mChannel.write(gathered, 0, gathered.length);
            removeSent();
            if (count == 0 && !mUnsent.isEmpty()) {
                waitForWritable();
                return;
            }
        }
        if (mEnded) {
            finish();
        } else if (mChannel.flush()) {
            mChannel.suspendWrites();
        } else {
            mChannel.resumeWrites();
        }
    }
}
