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
 * One request to an HTTP server and its response.
 *
 * <p>Public methods may be called from any thread; all others run on the client's IO thread.
 */
public final class HttpCall {
    /** Limits how long one response can occupy the IO thread. */
    private static final int MAX_READS_PER_EVENT = 16;

    /**
     * Maximum number of bytes that are not part of the body: the head, several times what servers
     * send, and buffers that are not consumed yet.
     */
    private static final long MAX_OVERHEAD_BYTES = 256 * 1024;

    /** Maximum framing for each byte of the body: a chunk of one byte has five others. */
    private static final int MAX_OVERHEAD_PER_BODY_BYTE = 8;

    /** Interval at which the length of a head is checked that has not ended. */
    private static final long HEAD_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final String EVENT_STREAM = "text/event-stream";
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final HttpClient mClient;
    private final HttpRequest mRequest;
    private final long mTimeoutNanos;
    private final HttpResponseHandler mHandler;
    private ClientConnection mConnection;
    private StreamSourceChannel mResponseChannel;
    private XnioIoThread.Key mTimer;
    private XnioIoThread.Key mHeadTimer;

    /** Bytes read from the connection before this call, as its statistics count them. */
    private long mReadBefore;

    private boolean mResponseStarted;
    private boolean mDone;
    private boolean mPaused;
    private boolean mBodySent;
    private Framing mFraming;

    /** Position in the event stream of the response, null if it is none. */
    private EventStreamBoundary mEvents;

    private long mBodyBytes;
    private long mKeepAliveNanos;

    HttpCall(
            HttpClient client,
            HttpRequest request,
            long timeoutNanos,
            HttpResponseHandler handler) {
        mClient = client;
        mRequest = Objects.requireNonNull(request, "request");
        mTimeoutNanos = timeoutNanos;
        mHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Cancels the request; reports a failure to its handler unless the request has ended. */
    public void cancel() {
        mClient.execute(() -> abort(HttpFailure.Kind.CANCELLED, "cancelled"));
    }

    /** Resumes or pauses reading the response. */
    public void setReading(boolean on) {
        mClient.execute(() -> setReadingNow(on));
    }

    /** Starts the time limit; returns false if the request has ended already. */
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

    void fail(HttpFailure failure) {
        if (finish()) {
            mHandler.failed(failure);
        }
    }

    void sendOn(ClientConnection connection) {
        mConnection = connection;
        mReadBefore = connection.getStatistics().getRead();
        mHeadTimer = mClient.timer(HEAD_CHECK_NANOS, this::checkHead);
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
        mClient.removeWaiting(this);
        fail(new HttpFailure(kind, sent, detail));
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
                onConnectionLost(cause);
            }
        };
    }

    /** Gives up a response whose head has grown too long; checks again later otherwise. */
    private void checkHead() {
        if (mDone || mResponseStarted) {
            return;
        }
        if (overheadBytes() > MAX_OVERHEAD_BYTES) {
            abort(HttpFailure.Kind.LOST, "the answer's head is too long, bytes=" + overheadBytes());
        } else {
            mHeadTimer = mClient.timer(HEAD_CHECK_NANOS, this::checkHead);
        }
    }

    /** Returns the bytes read for this call beside the body; the connection counts as an int. */
    private long overheadBytes() {
        return (int) (mConnection.getStatistics().getRead() - mReadBefore) - mBodyBytes;
    }

    private boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mHeadTimer != null) {
            mHeadTimer.remove();
        }
        if (mTimer != null) {
            mTimer.remove();
        }
        return true;
    }

    private Framing framing(ClientResponse response) {
        int status = response.getResponseCode();
        if (response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)) {
            return Framing.CHUNKED;
        }
        boolean hasLength =
                response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                        || status == StatusCodes.NO_CONTENT
                        || status == StatusCodes.NOT_MODIFIED
                        || mRequest.method().equals("HEAD");
        return hasLength ? Framing.LENGTH : Framing.CONNECTION_END;
    }

    /**
     * Returns whether an event stream has ended too early. One without any event is complete only
     * if its framing says so.
     */
    private boolean isCutOff(EventStreamBoundary events) {
        return events.isInsideEvent() || mFraming == Framing.CONNECTION_END && !events.hasEvents();
    }

    private static boolean isEventStream(ClientResponse response) {
        String type = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        return type != null && type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    /**
     * Returns how long the server keeps an idle connection open, 0 if the response does not specify
     * it.
     */
    private static long keepAliveNanos(HeaderMap headers) {
        String keepAlive = headers.getFirst("keep-alive");
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
        return timeout.find() ? TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1))) : 0;
    }

    private void onConnectionLost(IOException cause) {
        if (mDone) {
            return;
        }
        Logger.debug("event=call_lost server={} cause=\"{}\"", mClient.host(), cause);
        if (mResponseStarted) {
            abort(
                    HttpFailure.Kind.BROKEN,
                    "answer broke off, framing=" + mFraming + " bytes=" + mBodyBytes);
        } else {
            abort(HttpFailure.Kind.LOST, "connection lost");
        }
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = mClient.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < MAX_READS_PER_EVENT && !mDone && !mPaused; reads++) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    succeed();
                    return;
                }
                if (count == 0) {
                    break;
                }
                buffer.flip();
                mBodyBytes += count;
                ByteString data = ByteString.copyFrom(buffer);
                if (mEvents != null) {
                    mEvents.accept(data);
                }
                mHandler.part(data);
            }
            long maxOverhead = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * mBodyBytes;
            if (!mDone && overheadBytes() > maxOverhead) {
                abort(
                        HttpFailure.Kind.BROKEN,
                        "the answer's framing is too long, bytes=" + overheadBytes());
            }
            if (mDone || mPaused) {
                channel.suspendReads();
            } else {
                channel.resumeReads();
            }
        } catch (IOException cause) {
            onConnectionLost(cause);
        }
    }

    private void sendBody(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::startResponse));
        if (mRequest.body().isEmpty()) {
            mBodySent = true;
            return;
        }
        ByteBuffer body = mRequest.body().asReadOnlyByteBuffer();
        StreamSinkChannel channel = exchange.getRequestChannel();
        channel.getWriteSetter().set(writable -> write(writable, body));
        write(channel, body);
    }

    private void setReadingNow(boolean on) {
        mPaused = !on;
        if (mResponseChannel != null && !mDone && on) {
            mResponseChannel.wakeupReads();
        }
    }

    private void startResponse(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        mResponseStarted = true;
        mHeadTimer.remove();
        ClientResponse response = exchange.getResponse();
        mFraming = framing(response);
        mEvents = isEventStream(response) ? new EventStreamBoundary() : null;
        mKeepAliveNanos = keepAliveNanos(response.getResponseHeaders());
        mHandler.started(
                response.getResponseCode(), HttpHeaders.endToEnd(response.getResponseHeaders()));
        mResponseChannel = exchange.getResponseChannel();
        mResponseChannel.getReadSetter().set(this::read);
        read(mResponseChannel);
    }

    private void succeed() {
        if (mFraming == Framing.CONNECTION_END && !mClient.options().acceptsUnframed()) {
            abort(HttpFailure.Kind.BROKEN, "the answer's end is not known");
            return;
        }
        if (mEvents != null && isCutOff(mEvents)) {
            abort(
                    HttpFailure.Kind.BROKEN,
                    "event stream ended "
                            + (mEvents.isInsideEvent() ? "inside" : "without")
                            + " an event, framing="
                            + mFraming
                            + " bytes="
                            + mBodyBytes);
            return;
        }
        if (finish()) {
            mHandler.ended(new BodySummary(mFraming, mBodyBytes));
            if (!mBodySent) {
                IoUtils.safeClose(mConnection);
            }
            mClient.release(mConnection, mKeepAliveNanos);
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
            mBodySent = true;
            channel.shutdownWrites();
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(
                                ChannelListeners.flushingChannelListener(
                                        null, (ignored, cause) -> onConnectionLost(cause)));
                channel.resumeWrites();
            }
        } catch (IOException cause) {
            onConnectionLost(cause);
        }
    }
}
