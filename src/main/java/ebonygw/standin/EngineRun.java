package ebonygw.standin;

import ebonygw.http.ConnectionWatch;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** One request inside an engine; used on the engine's IO thread only. */
final class EngineRun {
    private static final long MAX_UNSENT_BYTES = 64 * 1024;

    private final HttpServerExchange mExchange;
    private final EngineRequest mRequest;
    private final Runnable mOnEnd;
    private final ArrayDeque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private final StringBuilder mText = new StringBuilder();
    private StreamSinkChannel mChannel;
    private long mUnsentBytes;
    private int mTokens;
    private boolean mLast;
    private boolean mEnded;

    EngineRun(HttpServerExchange exchange, EngineRequest request, Runnable onEnd) {
        mExchange = exchange;
        mRequest = request;
        mOnEnd = onEnd;
    }

    /** Breaks the answer off by closing its connection. */
    void cut() {
        ConnectionWatch.of(mExchange.getConnection()).stop();
        end();
        IoUtils.safeClose(mExchange.getConnection());
    }

    boolean ended() {
        return mEnded;
    }

    /** Generates the next token, and the end after the last one. */
    void generate() {
        if (mEnded || mLast) {
            return;
        }
        mTokens++;
        String token = mTokens == 1 ? mRequest.signature() : " token" + mTokens;
        boolean last = mTokens >= mRequest.tokens();
        if (mRequest.streamed()) {
            send(mRequest.chunk(token, last));
            if (last) {
                send(mRequest.usageChunk(mTokens));
                send("data: [DONE]\n\n");
            }
        } else {
            mText.append(token);
            if (last) {
                send(mRequest.whole(mText.toString(), mTokens));
            }
        }
        mLast = last;
        write();
    }

    /** Sends a first part of the answer and breaks off. */
    void generateAndCut() {
        if (mRequest.streamed()) {
            send(mRequest.chunk(mRequest.signature(), false));
        } else {
            String whole = mRequest.whole(mRequest.signature(), mRequest.tokens());
            mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, whole.length());
            send(whole.substring(0, whole.length() / 2));
        }
        write();
        cut();
    }

    boolean blocked() {
        return mUnsentBytes > MAX_UNSENT_BYTES;
    }

    EngineRequest request() {
        return mRequest;
    }

    private void end() {
        if (!mEnded) {
            mEnded = true;
            mOnEnd.run();
        }
    }

    private void send(String text) {
        ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        mUnsentBytes += buffer.remaining();
        mUnsent.add(buffer);
    }

    private void write() {
        if (mUnsent.isEmpty() || mEnded) {
            return;
        }
        try {
            if (mChannel == null) {
                open();
            }
            while (!mUnsent.isEmpty()) {
                int count = mChannel.write(mUnsent.peek());
                mUnsentBytes -= count;
                if (!mUnsent.peek().hasRemaining()) {
                    mUnsent.poll();
                } else if (count == 0) {
                    mChannel.resumeWrites();
                    return;
                }
            }
            if (mLast) {
                ConnectionWatch.of(mExchange.getConnection()).stop();
                mChannel.shutdownWrites();
                end();
            }
            if (mChannel.flush()) {
                mChannel.suspendWrites();
            } else {
                mChannel.resumeWrites();
            }
        } catch (IOException cause) {
            Logger.debug("event=engine_caller_lost cause=\"{}\"", cause);
            cut();
        }
    }

    private void open() {
        mExchange
                .getResponseHeaders()
                .put(
                        Headers.CONTENT_TYPE,
                        mRequest.streamed() ? "text/event-stream" : "application/json");
        if (mLast) {
            mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, mUnsentBytes);
        }
        mChannel = mExchange.getResponseChannel();
        mChannel.getWriteSetter().set(channel -> flushOrWrite());
    }

    private void flushOrWrite() {
        if (!mUnsent.isEmpty()) {
            write();
            return;
        }
        try {
            if (mChannel.flush()) {
                mChannel.suspendWrites();
            }
        } catch (IOException cause) {
            Logger.debug("event=engine_caller_lost cause=\"{}\"", cause);
            cut();
        }
    }
}
