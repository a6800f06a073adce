package ebonygw.caller;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.http.ConnectionWatch;
import ebonygw.log.LogLine;
import ebonygw.request.Refusal;
import io.undertow.server.HttpServerExchange;
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
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * One request of a caller from its arrival to the last byte of its answer.
 *
 * <p>{@link #offer} may be called from any thread; all else runs on the connection's IO thread.
 */
final class CallerExchange {
    /** What the exchange needs of its server. */
    interface Owner {
        /** Takes an event for the control thread. */
        void post(EntryEvent event);

        /** The exchange holds no resources any more. */
        void released(CallerExchange exchange);
    }

    /** Set on every answer of unknown length, so that its end differs from the connection's. */
    private static final String CHUNKED = "chunked";

    private static final int MAX_GATHERED = 64;

    private final AnswerStyle mStyle;
    private final long mNumber;
    private final String mRequestId;
    private final boolean mStreamed;
    private final int mBodyBytes;
    private final HttpServerExchange mExchange;
    private final XnioIoThread mThread;
    private final Owner mOwner;
    private final long mWriteTimeoutNanos;
    private final ConnectionWatch mWatch;
    private final Queue<EntryEffect> mEffects = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mScheduled = new AtomicBoolean();
    private final ArrayDeque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private StreamSinkChannel mChannel;
    private XnioIoThread.Key mWriteTimer;
    private boolean mStarted;
    private boolean mEnd;
    private boolean mBroken;
    private boolean mReleased;

    CallerExchange(
            long number,
            String requestId,
            boolean streamed,
            int bodyBytes,
            HttpServerExchange exchange,
            Owner owner,
            long writeTimeoutNanos,
            AnswerStyle style) {
        mStyle = style;
        mNumber = number;
        mRequestId = requestId;
        mStreamed = streamed;
        mBodyBytes = bodyBytes;
        mExchange = exchange;
        mThread = exchange.getIoThread();
        mOwner = owner;
        mWriteTimeoutNanos = writeTimeoutNanos;
        mWatch = ConnectionWatch.of(exchange.getConnection());
    }

    /** Returns the length of the request's body. */
    int bodyBytes() {
        return mBodyBytes;
    }

    /** Returns the number of the exchange. */
    long number() {
        return mNumber;
    }

    /** Queues an effect for the IO thread. */
    void offer(EntryEffect effect) {
        mEffects.add(effect);
        if (mScheduled.compareAndSet(false, true)) {
            mThread.execute(this::run);
        }
    }

    /** Starts to watch for the caller's leaving. */
    void start() {
        mWatch.start(this::gone);
    }

    private void broken(Refusal refusal) {
        mEnd = true;
        mBroken = true;
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

    private void closeConnection() {
        release();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void finish() throws IOException {
        if (mBroken) {
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

    private void gone() {
        if (mReleased) {
            return;
        }
        release();
        if (!mEnd) {
            mOwner.post(new EntryEvent.CallerGone(mNumber));
        }
    }

    private void handle(EntryEffect effect) {
        if (mEnd) {
            return;
        }
        if (effect instanceof EntryEffect.AnswerPart part) {
            if (mStarted) {
                mUnsent.add(part.data().asReadOnlyByteBuffer());
            }
        } else if (effect instanceof EntryEffect.AnswerEnded) {
            mEnd = mStarted;
        } else if (effect instanceof EntryEffect.AnswerStarted started) {
            startAnswer(started.status(), started.headers());
        } else if (effect instanceof EntryEffect.AnswerBroken broken) {
            if (mStarted) {
                broken(broken.refusal());
            } else {
                refused(broken.refusal());
            }
        } else if (effect instanceof EntryEffect.Refused refused) {
            refused(refused.refusal());
        }
    }

    private void refused(Refusal refusal) {
        if (mStarted) {
            broken(refusal);
            return;
        }
        mStarted = true;
        mEnd = true;
        Refusals.prepare(mExchange, refusal, mStyle);
        mUnsent.add(
                ByteBuffer.wrap(
                        ErrorBodies.json(refusal, mRequestId).getBytes(StandardCharsets.UTF_8)));
    }

    private void release() {
        if (!mReleased) {
            mReleased = true;
            cancelTimer();
            mWatch.stop();
            mOwner.released(this);
        }
    }

    private void run() {
        mScheduled.set(false);
        for (EntryEffect effect = mEffects.poll(); effect != null; effect = mEffects.poll()) {
            if (!mReleased) {
                handle(effect);
            }
        }
        if (!mReleased && mStarted) {
            write();
        }
    }

    private void startAnswer(int status, Map<String, String> headers) {
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

    private void takeSent() {
        int taken = 0;
        while (!mUnsent.isEmpty() && !mUnsent.peek().hasRemaining()) {
            mUnsent.poll();
            taken++;
        }
        if (taken > 0) {
            cancelTimer();
            if (!mEnd) {
                mOwner.post(new EntryEvent.CallerTook(mNumber, taken));
            }
        }
    }

    private void write() {
        try {
            if (mChannel == null) {
                if (mEnd && !mBroken) {
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
            gone();
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private long writeGathered() throws IOException {
        if (mUnsent.size() == 1) {
            return mChannel.write(mUnsent.peek());
        }
        ByteBuffer[] gathered = new ByteBuffer[Math.min(MAX_GATHERED, mUnsent.size())];
        Iterator<ByteBuffer> unsent = mUnsent.iterator();
        for (int i = 0; i < gathered.length; i++) {
            gathered[i] = unsent.next();
        }
        return mChannel.write(gathered, 0, gathered.length);
    }

    private void writeUnsent() throws IOException {
        takeSent();
        while (!mUnsent.isEmpty()) {
            ByteBuffer[] gathered = mUnsent.stream().limit(MAX_GATHERED).toArray(ByteBuffer[]::new);
            long count = mChannel.write(gathered, 0, gathered.length);
            takeSent();
            if (count == 0 && !mUnsent.isEmpty()) {
                waitForCaller();
                return;
            }
        }
        if (mEnd) {
            finish();
        } else if (mChannel.flush()) {
            mChannel.suspendWrites();
        } else {
            mChannel.resumeWrites();
        }
    }

    private void waitForCaller() {
        if (mWriteTimer == null) {
            mWriteTimer =
                    mThread.executeAfter(
                            () -> {
                                gone();
                                IoUtils.safeClose(mExchange.getConnection());
                            },
                            mWriteTimeoutNanos,
                            TimeUnit.NANOSECONDS);
        }
        mChannel.resumeWrites();
    }
}
