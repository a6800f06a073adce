package ebonygw.http;

import static ebonygw.http.HttpHeaders.endToEnd;

import com.google.protobuf.ByteString;
import ebonygw.log.LogLine;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import org.xnio.XnioIoThread;

/**
 * One request to an HTTP server and its response.
 *
 * <p>Public methods may be called from any thread; all others run on the client's IO thread.
 */
public final class HttpCall {
    /** Header fields come from parsed requests and from the process itself. */
    private static final HttpHeadersFactory REQUEST_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private static final String EVENT_STREAM = "text/event-stream";

    /** Characters of an id in a log line, more than ids that are made by machines have. */
    private static final int MAX_LOGGED_ID_CHARS = 64;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final HttpClient mClient;
    private final String mRequestId;
    private final LongFunction<HttpRequest> mRequests;
    private final long mTimeoutNanos;
    private final long mMaxConnectNanos;
    private final HttpResponseHandler mHandler;
    private HttpRequest mRequest;
    private HttpConnection mConnection;
    private XnioIoThread.Key mTimer;
    private XnioIoThread.Key mConnectTimer;
    private long mBegunNanos;
    private long mSentNanos;
    private boolean mResponseStarted;
    private boolean mUnprovedLogged;
    private boolean mDone;
    private boolean mPaused;
    private boolean mKeepAlive;
    private Framing mFraming;

    /** Position in the event stream of the response, null if it is none. */
    private EventStreamBoundary mEvents;

    private long mBodyBytes;
    private long mKeepAliveNanos;

    HttpCall(
            HttpClient client,
            String requestId,
            LongFunction<HttpRequest> requests,
            long timeoutNanos,
            long maxConnectNanos,
            HttpResponseHandler handler) {
        mClient = client;
        mRequestId = Objects.requireNonNull(requestId, "requestId");
        mRequests = Objects.requireNonNull(requests, "requests");
        mTimeoutNanos = timeoutNanos;
        mMaxConnectNanos = maxConnectNanos;
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
        mBegunNanos = System.nanoTime();
        mTimer = mClient.timer(mTimeoutNanos, this::onTimeout);
        if (mMaxConnectNanos < mTimeoutNanos) {
            mConnectTimer = mClient.timer(mMaxConnectNanos, this::onConnectTimeout);
        }
        return true;
    }

    void fail(HttpFailure failure) {
        if (finish()) {
            mHandler.failed(failure);
        }
    }

    /** Returns whether the request may be sent on an idle connection. */
    boolean mayUse(HttpConnection connection) {
        return connection.mayCarry(mRequestId);
    }

    void sendOn(HttpConnection connection) {
        FullHttpRequest request;
        long sentNanos = System.nanoTime();
        if (mConnectTimer != null) {
            mConnectTimer.remove();
        }
        if (sentNanos - mBegunNanos > mMaxConnectNanos) {
            // The timer is late, for example because the process was stopped.
            onConnectTimeout();
            mClient.release(connection, 0);
            return;
        }
        try {
            mRequest = mRequests.apply(mTimeoutNanos - (sentNanos - mBegunNanos));
            request = encodable();
        } catch (IllegalArgumentException cause) {
            fail(new HttpFailure(HttpFailure.Kind.LOST, false, "invalid request: " + cause));
            mClient.release(connection, 0);
            return;
        }
        mConnection = connection;
        mSentNanos = sentNanos;
        connection.send(request, mRequestId, new ResponseReceiver());
    }

    private void onConnectTimeout() {
        abort(
                HttpFailure.Kind.WITHDRAWN,
                "no connection within " + TimeUnit.NANOSECONDS.toMillis(mMaxConnectNanos) + " ms");
    }

    private void onTimeout() {
        String detail = "time limit passed";
        if (mConnection != null) {
            long nowNanos = System.nanoTime();
            detail +=
                    ", connection opened "
                            + TimeUnit.NANOSECONDS.toMillis(nowNanos - mConnection.openedNanos())
                            + " ms ago, last response "
                            + TimeUnit.NANOSECONDS.toMillis(nowNanos - mConnection.respondedNanos())
                            + " ms ago";
        }
        if (mConnection != null && !mResponseStarted) {
            // Before the failure is reported, so that no request that follows it is sent on them.
            mClient.closeSilentSince(mSentNanos);
        }
        abort(HttpFailure.Kind.TIMEOUT, detail);
    }

    private void abort(HttpFailure.Kind kind, String detail) {
        if (mDone) {
            return;
        }
        boolean sent = mConnection != null;
        mClient.removeWaiting(this);
        fail(new HttpFailure(kind, sent, detail));
        if (sent) {
            mConnection.abort();
        }
    }

    /** Returns the request in the form that the encoder takes. */
    private FullHttpRequest encodable() {
        HttpHeaders headers = REQUEST_HEADERS.newHeaders();
        mRequest.headers().forEach(headers::set);
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, mClient.host());
        }
        if (!mRequest.body().isEmpty() || mRequest.method().equals("POST")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, mRequest.body().size());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(mRequest.method()),
                mRequest.path(),
                Unpooled.wrappedBuffer(mRequest.body().asReadOnlyByteBuffer()),
                headers,
                REQUEST_HEADERS.newEmptyHeaders());
    }

    private boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mTimer != null) {
            mTimer.remove();
        }
        if (mConnectTimer != null) {
            mConnectTimer.remove();
        }
        return true;
    }

    private Framing framing(HttpResponse response) {
        Framing framing = Framing.of(response);
        boolean isHead = mRequest.method().equals("HEAD");
        return isHead && !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                ? Framing.LENGTH
                : framing;
    }

    /**
     * Returns whether an event stream has ended too early. One without any event is complete only
     * if its framing says so.
     */
    private boolean isCutOff(EventStreamBoundary events) {
        return events.isInsideEvent() || mFraming == Framing.CONNECTION_END && !events.hasEvents();
    }

    private static boolean isEventStream(HttpResponse response) {
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return type != null && type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    /**
     * Returns how long the server keeps an idle connection open, 0 if the response does not specify
     * it.
     */
    private static long keepAliveNanos(HttpHeaders headers) {
        String keepAlive = headers.get("keep-alive");
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
        return timeout.find() ? TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1))) : 0;
    }

    private static String loggedId(String id) {
        return id.substring(0, Math.min(id.length(), MAX_LOGGED_ID_CHARS));
    }

    private void setReadingNow(boolean on) {
        mPaused = !on;
        if (mConnection != null && mResponseStarted && !mDone) {
            mConnection.setReading(on);
        }
    }

    /** Reports a response that is malformed or exceeds a limit. */
    private void giveUp(String fault) {
        ResponseMemory.ofProcess().countGivenUp();
        LogLine.of("response_given_up")
                .with("server", mClient.host())
                .with("started", mResponseStarted)
                .with("bytes", mBodyBytes)
                .with("cause", fault)
                .warn();
        abort(mResponseStarted ? HttpFailure.Kind.BROKEN : HttpFailure.Kind.LOST, fault);
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
            if (mKeepAlive && mConnection.isReusable()) {
                mClient.release(mConnection, mKeepAliveNanos);
            } else {
                mConnection.close();
            }
        }
    }

    /** Receives the response; all methods run on the IO thread. */
    private final class ResponseReceiver implements HttpConnection.Exchange {
        @Override
        public void unproved(String id, HttpResponse response) {
            ResponseMemory.ofProcess().countUnproved();
            if (!mUnprovedLogged) {
                mUnprovedLogged = true;
                LogLine.of("response_unproved")
                        .with("server", mClient.host())
                        .with("request", loggedId(mRequestId))
                        .with("response", loggedId(id))
                        .with("status", response.status().code())
                        .with("exchanges", mConnection.exchangeCount())
                        .warn();
            }
        }

        @Override
        public void started(HttpResponse response) {
            mResponseStarted = true;
            mFraming = framing(response);
            if (mFraming == Framing.CONNECTION_END) {
                mConnection.setEndsWithConnection();
            }
            mKeepAlive = HttpUtil.isKeepAlive(response);
            mKeepAliveNanos = keepAliveNanos(response.headers());
            mEvents = isEventStream(response) ? new EventStreamBoundary() : null;
            mHandler.started(response.status().code(), endToEnd(response.headers()));
            if (mPaused && !mDone) {
                mConnection.setReading(false);
            }
        }

        @Override
        public void part(ByteString data) {
            mBodyBytes += data.size();
            if (mBodyBytes > mHandler.maxBodyBytes()) {
                giveUp("the body is longer than " + mHandler.maxBodyBytes() + " bytes");
                return;
            }
            if (mEvents != null) {
                mEvents.accept(data);
            }
            mHandler.part(data);
        }

        @Override
        public void ended() {
            succeed();
        }

        @Override
        public void lost(String cause) {
            Logger.debug("event=call_lost server={} cause=\"{}\"", mClient.host(), cause);
            if (mResponseStarted) {
                abort(
                        HttpFailure.Kind.BROKEN,
                        "answer broke off, framing=" + mFraming + " bytes=" + mBodyBytes);
            } else {
                abort(HttpFailure.Kind.LOST, "connection lost");
            }
        }

        @Override
        public void malformed(String fault) {
            giveUp(fault);
        }
    }
}
