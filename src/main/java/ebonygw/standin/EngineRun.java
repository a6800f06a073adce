package ebonygw.standin;

import ebonygw.http.DisconnectMonitor;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * One completion request that waits or runs in the simulated engine, and its response. Used on the
 * engine's IO thread only.
 */
final class EngineRun {
    private static final long MAX_UNSENT_BYTES = 64 * 1024;

    private final HttpServerExchange mExchange;
    private final EngineRequest mRequest;
    private final Runnable mOnEnd;
    private final ArrayDeque<ByteBuffer> mUnsentBuffers = new ArrayDeque<>();
    private final StringBuilder mResponseText = new StringBuilder();
    private StreamSinkChannel mChannel;
    private long mUnsentBytes;
    private int mGeneratedTokens;
    private boolean mGenerationComplete;
    private boolean mEnded;

    /**
     * Creates a run.
     *
     * @param onEnd runs once, when the response is complete or aborted
     */
    EngineRun(HttpServerExchange exchange, EngineRequest request, Runnable onEnd) {
        mExchange = exchange;
        mRequest = request;
        mOnEnd = onEnd;
    }

    /** Aborts the response by closing its connection. */
    void abort() {
        DisconnectMonitor.of(mExchange.getConnection()).stop();
        end();
        IoUtils.safeClose(mExchange.getConnection());
    }

    /** Returns whether the response is complete or aborted. */
    boolean isEnded() {
        return mEnded;
    }

    /** Generates the next token, and completes the response after the last one. */
    void generateToken() {
        if (mEnded || mGenerationComplete) {
            return;
        }
        mGeneratedTokens++;
        String token = mGeneratedTokens == 1 ? mRequest.firstToken() : " token" + mGeneratedTokens;
        boolean last = mGeneratedTokens >= mRequest.tokens();
        if (mRequest.streamed()) {
            enqueue(mRequest.chunk(token, last));
            if (last) {
                enqueue(mRequest.usageChunk(mGeneratedTokens));
                enqueue("data: [DONE]\n\n");
            }
        } else {
            mResponseText.append(token);
            if (last) {
                enqueue(mRequest.fullResponse(mResponseText.toString(), mGeneratedTokens));
            }
        }
        mGenerationComplete = last;
        writePending();
    }

    /** Sends the first part of the response and then aborts it. */
    void generatePartAndAbort() {
        if (mRequest.streamed()) {
            enqueue(mRequest.chunk(mRequest.firstToken(), false));
        } else {
            String response = mRequest.fullResponse(mRequest.firstToken(), mRequest.tokens());
            mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, response.length());
            enqueue(response.substring(0, response.length() / 2));
        }
        writePending();
        abort();
    }

    /** Returns whether generation has to pause because the client does not read fast enough. */
    boolean isBlocked() {
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

    private void enqueue(String text) {
        ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        mUnsentBytes += buffer.remaining();
        mUnsentBuffers.add(buffer);
    }

    /**
     * Writes pending data until the channel accepts no more; ends the response after the last byte.
     */
    private void writePending() {
        if (mUnsentBuffers.isEmpty() || mEnded) {
            return;
        }
        try {
            if (mChannel == null) {
                openResponse();
            }
            while (!mUnsentBuffers.isEmpty()) {
                int count = mChannel.write(mUnsentBuffers.peek());
                mUnsentBytes -= count;
                if (!mUnsentBuffers.peek().hasRemaining()) {
                    mUnsentBuffers.poll();
                } else if (count == 0) {
                    mChannel.resumeWrites();
                    return;
                }
            }
            if (mGenerationComplete) {
                DisconnectMonitor.of(mExchange.getConnection()).stop();
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
            abort();
        }
    }

    private void openResponse() {
        mExchange
                .getResponseHeaders()
                .put(
                        Headers.CONTENT_TYPE,
                        mRequest.streamed() ? "text/event-stream" : "application/json");
        if (mGenerationComplete) {
            mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, mUnsentBytes);
        }
        mChannel = mExchange.getResponseChannel();
        mChannel.getWriteSetter().set(channel -> onWritable());
    }

    private void onWritable() {
        if (!mUnsentBuffers.isEmpty()) {
            writePending();
            return;
        }
        try {
            if (mChannel.flush()) {
                mChannel.suspendWrites();
            }
        } catch (IOException cause) {
            Logger.debug("event=engine_caller_lost cause=\"{}\"", cause);
            abort();
        }
    }
}
