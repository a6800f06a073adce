package ebonygw.http;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One call of an HTTP server.
 *
 * <p>Public methods may be called from any thread; all else runs on the client's IO thread.
 */
public final class HttpCall {
    private static final int READS_PER_TURN = 16;
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final HttpClient mClient;
    private final HttpRequest mRequest;
    private final long mTimeoutNanos;
    private final HttpAnswerSink mSink;
    private ClientConnection mConnection;
    private StreamSourceChannel mAnswer;
    private XnioIoThread.Key mTimer;
    private boolean mStarted;
    private boolean mDone;
    private boolean mPaused;
    private boolean mSent;
    private boolean mFramed;
    private long mKeepNanos;

    HttpCall(HttpClient client, HttpRequest request, long timeoutNanos, HttpAnswerSink sink) {
        mClient = client;
        mRequest = Objects.requireNonNull(request, "request");
        mTimeoutNanos = timeoutNanos;
        mSink = Objects.requireNonNull(sink, "sink");
    }

    /** Cancels the call; its sink hears of a failure unless it has ended. */
    public void cancel() {
        mClient.execute(() -> abort(HttpFailure.Kind.CANCELLED, "cancelled"));
    }

    /** Pauses or resumes reading the answer. */
    public void reading(boolean on) {
        mClient.execute(() -> readingNow(on));
    }

    boolean begin() {
        if (mDone) {
            return false;
        }
        if (mTimeoutNanos <= 0) {
            abort(HttpFailure.Kind.TIMEOUT, "time limit passed");
            return false;
        }
        mTimer =
                mClient.timer(
                        mTimeoutNanos, () -> abort(HttpFailure.Kind.TIMEOUT, "time limit passed"));
        return true;
    }

    void failed(HttpFailure failure) {
        if (finish()) {
            mSink.failed(failure);
        }
    }

    void sendOn(ClientConnection connection) {
        mConnection = connection;
        ClientRequest request =
                new ClientRequest()
                        .setMethod(HttpString.tryFromString(mRequest.method()))
                        .setPath(mRequest.path());
        HeaderMap headers = request.getRequestHeaders();
        mRequest.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, mClient.host());
        }
        if (!mRequest.body().isEmpty() || mRequest.method().equals("POST")) {
            headers.put(Headers.CONTENT_LENGTH, mRequest.body().size());
        }
        connection.sendRequest(request, callback(this::sendBody));
    }

    private void abort(HttpFailure.Kind kind, String detail) {
        if (mDone) {
            return;
        }
        boolean sent = mConnection != null;
        mClient.forget(this);
        failed(new HttpFailure(kind, sent, detail));
        HttpClient.abort(mConnection);
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException cause) {
                lost(cause);
            }
        };
    }

    private boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mTimer != null) {
            mTimer.remove();
        }
        return true;
    }

    /** Returns whether more than the connection's end tells that an answer is whole. */
    private boolean framed(ClientResponse response) {
        int status = response.getResponseCode();
        return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED
                || mRequest.method().equals("HEAD");
    }

    /** Returns how long the server keeps an idle connection open, 0 if it does not say. */
    private static long keepNanos(HeaderMap headers) {
        String keepAlive = headers.getFirst("keep-alive");
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
        return timeout.find() ? TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1))) : 0;
    }

    private void lost(IOException cause) {
        if (mDone) {
            return;
        }
        Logger.debug("event=call_lost server={} cause=\"{}\"", mClient.host(), cause);
        abort(
                mStarted ? HttpFailure.Kind.BROKEN : HttpFailure.Kind.LOST,
                mStarted ? "answer broke off" : "connection lost");
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = mClient.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int turn = 0; turn < READS_PER_TURN && !mDone && !mPaused; turn++) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    whole();
                    return;
                }
                if (count == 0) {
                    break;
                }
                buffer.flip();
                mSink.part(ByteString.copyFrom(buffer));
            }
            if (mDone || mPaused) {
                channel.suspendReads();
            } else {
                channel.resumeReads();
            }
        } catch (IOException cause) {
            lost(cause);
        }
    }

    private void readingNow(boolean on) {
        mPaused = !on;
        if (mAnswer != null && !mDone && on) {
            mAnswer.wakeupReads();
        }
    }

    private void sendBody(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::start));
        if (mRequest.body().isEmpty()) {
            mSent = true;
            return;
        }
        ByteBuffer body = mRequest.body().asReadOnlyByteBuffer();
        StreamSinkChannel channel = exchange.getRequestChannel();
        channel.getWriteSetter().set(writable -> write(writable, body));
        write(channel, body);
    }

    private void start(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        mStarted = true;
        ClientResponse response = exchange.getResponse();
        mFramed = framed(response) || mClient.options().takesUnframed();
        mKeepNanos = keepNanos(response.getResponseHeaders());
        mSink.started(
                response.getResponseCode(), HttpHeaders.endToEnd(response.getResponseHeaders()));
        mAnswer = exchange.getResponseChannel();
        mAnswer.getReadSetter().set(this::read);
        read(mAnswer);
    }

    private void whole() {
        if (!mFramed) {
            abort(HttpFailure.Kind.BROKEN, "the answer's end is not known");
            return;
        }
        if (finish()) {
            mSink.ended();
            if (!mSent) {
                IoUtils.safeClose(mConnection);
            }
            mClient.release(mConnection, mKeepNanos);
        }
    }

    private void write(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            mSent = true;
            channel.shutdownWrites();
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(
                                ChannelListeners.flushingChannelListener(
                                        null, (ignored, cause) -> lost(cause)));
                channel.resumeWrites();
            }
        } catch (IOException cause) {
            lost(cause);
        }
    }
}
