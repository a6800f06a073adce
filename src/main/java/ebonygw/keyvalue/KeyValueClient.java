package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import ebonygw.http.BodySummary;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Sends key-value requests to the service in the published JSON mapping of etcd v3.
 *
 * <p>Each request but the cancellation of a watch gets a response, which is a failure once the time
 * limit has passed; a request that is still waiting for the rate limit then fails when its turn
 * comes. If no connection to an endpoint can be opened, the request is tried at the next one; a
 * request that was sent is not retried here. A watch fails after 10 minutes and has to be started
 * again. Thread-safe; listeners run on threads of the client.
 */
public final class KeyValueClient implements Closeable {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 16;
    private static final int SUCCESS_CLASS = 2;
    private static final int SERVER_ERROR_CLASS = 5;
    private static final int STATUS_CLASS_DIVISOR = 100;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long WATCH_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final KeyValueClientOptions mOptions;
    private final List<HttpClient> mEndpoints = new ArrayList<>();
    private final Deque<PendingRequest> mWaiting = new ArrayDeque<>();
    private final Map<Long, PendingRequest> mWatches = new HashMap<>();
    private int mCurrentEndpoint;
    private double mRateTokens;
    private long mRefilledAtNanos = System.nanoTime();
    private boolean mTimerSet;

    /**
     * Creates a client; it connects on the first request.
     *
     * @throws IOException if its threads cannot be started
     */
    public KeyValueClient(KeyValueClientOptions options) throws IOException {
        mOptions = Objects.requireNonNull(options, "options");
        mRateTokens = options.requestsPerSecond();
        for (URI endpoint : options.endpoints()) {
            InetSocketAddress server =
                    new InetSocketAddress(endpoint.getHost(), endpoint.getPort());
            mEndpoints.add(
                    new HttpClient(
                            "key-value",
                            new HttpClientOptions(
                                    server,
                                    MAX_CONNECTIONS,
                                    options.maxWaiting(),
                                    options.timeoutNanos())));
        }
    }

    /**
     * Sends a request, or lets it wait for the rate limit; it fails if too many requests wait
     * already. Never blocks on the network.
     *
     * @param requestId the request id, unique among the open requests; a watch is cancelled under
     *     the id that started it
     * @param listener receives the response, for a watch each one until a failure or a compaction;
     *     the cancellation of a watch has none
     */
    public synchronized void send(
            long requestId, KeyValueRequest request, Consumer<KeyValueResponse> listener) {
        PendingRequest pending = new PendingRequest(requestId, request, listener);
        if (request instanceof KeyValueRequest.WatchCancel) {
            PendingRequest watch = mWatches.remove(requestId);
            if (watch != null) {
                watch.cancel();
            }
            return;
        }
        if (mWaiting.size() >= mOptions.maxWaiting()) {
            mEndpoints.get(0).schedule(1, () -> pending.fail(false, "too many calls wait"));
            return;
        }
        if (request instanceof KeyValueRequest.Watch) {
            mWatches.put(requestId, pending);
        }
        mWaiting.add(pending);
        sendWaiting();
    }

    /** Closes all connections; open requests fail. */
    @Override
    public void close() {
        mEndpoints.forEach(HttpClient::close);
    }

    /** Sends waiting requests as far as the token bucket of the rate limit allows. */
    private synchronized void sendWaiting() {
        long nowNanos = System.nanoTime();
        double refill =
                (double) (nowNanos - mRefilledAtNanos)
                        / SECOND_NANOS
                        * mOptions.requestsPerSecond();
        mRateTokens = Math.min(mOptions.requestsPerSecond(), mRateTokens + refill);
        mRefilledAtNanos = nowNanos;
        while (!mWaiting.isEmpty() && mRateTokens >= 1) {
            PendingRequest pending = mWaiting.poll();
            if (!pending.done()) {
                mRateTokens--;
                pending.send();
            }
        }
        if (!mWaiting.isEmpty() && !mTimerSet) {
            mTimerSet = true;
            mEndpoints.get(0).schedule(SECOND_NANOS / mOptions.requestsPerSecond(), this::onTimer);
        }
    }

    private synchronized void onTimer() {
        mTimerSet = false;
        sendWaiting();
    }

    private synchronized HttpClient currentEndpoint() {
        return mEndpoints.get(mCurrentEndpoint);
    }

    /** Makes the next endpoint the current one, unless another thread already did so. */
    private synchronized void switchAwayFrom(HttpClient endpoint) {
        if (mEndpoints.get(mCurrentEndpoint) == endpoint) {
            mCurrentEndpoint = (mCurrentEndpoint + 1) % mEndpoints.size();
        }
    }

    private synchronized void removeWatch(PendingRequest pending) {
        mWatches.remove(pending.mRequestId, pending);
    }

    private final class PendingRequest implements HttpResponseHandler {
        private final long mRequestId;
        private final KeyValueRequest mRequest;
        private final Consumer<KeyValueResponse> mListener;
        private final long mStartNanos = System.nanoTime();
        private ByteString mReceived = ByteString.EMPTY;
        private HttpClient mEndpoint;
        private HttpCall mHttpCall;
        private int mAttempts;
        private int mStatus;
        private boolean mDone;

        PendingRequest(long requestId, KeyValueRequest call, Consumer<KeyValueResponse> reply) {
            mRequestId = requestId;
            mRequest = Objects.requireNonNull(call, "call");
            mListener = Objects.requireNonNull(reply, "reply");
        }

        @Override
        public void ended(BodySummary body) {
            if (isWatch()) {
                fail(false, "watch ended with status " + mStatus);
                return;
            }
            if (mStatus / STATUS_CLASS_DIVISOR != SUCCESS_CLASS) {
                boolean mayHaveTakenEffect =
                        isWrite() && mStatus / STATUS_CLASS_DIVISOR == SERVER_ERROR_CLASS;
                fail(mayHaveTakenEffect, "status " + mStatus);
                return;
            }
            try {
                finish(EtcdJson.readResponse(mRequest, mReceived.toByteArray()));
            } catch (IOException e) {
                fail(isWrite(), "unreadable answer: " + e.getMessage());
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            switchAwayFrom(mEndpoint);
            boolean pastDeadline = System.nanoTime() - mStartNanos >= mOptions.timeoutNanos();
            if (failure.kind() == HttpFailure.Kind.CONNECT
                    && !pastDeadline
                    && mAttempts < mEndpoints.size()) {
                send();
                return;
            }
            fail(failure.sent() && isWrite(), failure.detail());
        }

        @Override
        public void part(ByteString data) {
            mReceived = mReceived.concat(data);
            if (isWatch()) {
                consumeLines();
            }
            if (mReceived.size() > MAX_RESPONSE_BYTES) {
                fail(isWrite(), "answer too long");
                cancel();
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            mStatus = status;
        }

        synchronized void cancel() {
            mDone = true;
            if (mHttpCall != null) {
                mHttpCall.cancel();
            }
        }

        synchronized boolean done() {
            return mDone;
        }

        void fail(boolean mayHaveTakenEffect, String detail) {
            finish(new KeyValueResponse.Failed(mayHaveTakenEffect, detail));
        }

        /**
         * Sends the request to the current endpoint.
         *
         * <p>Lock order: the lock of the client before that of this object, never the other way
         * round.
         */
        void send() {
            HttpClient endpoint = currentEndpoint();
            long remainingNanos = mOptions.timeoutNanos() - (System.nanoTime() - mStartNanos);
            HttpRequest request =
                    HttpRequest.ofJson(
                            "POST",
                            EtcdJson.path(mRequest),
                            ByteString.copyFrom(EtcdJson.writeRequest(mRequest)));
            HttpCall httpCall =
                    endpoint.prepare(
                            request, isWatch() ? WATCH_TIMEOUT_NANOS : remainingNanos, this);
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mAttempts++;
                mEndpoint = endpoint;
                mHttpCall = httpCall;
            }
            endpoint.send(httpCall);
        }

        private void finish(KeyValueResponse response) {
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mDone = true;
            }
            removeWatch(this);
            if (response instanceof KeyValueResponse.Failed failed) {
                Logger.debug(
                        "event=key_value_failed call={} may_have_taken_effect={} detail=\"{}\"",
                        mRequest.getClass().getSimpleName(),
                        failed.mayHaveTakenEffect(),
                        failed.detail());
            }
            mListener.accept(response);
        }

        private void consumeLine(ByteString line) {
            try {
                KeyValueResponse response = EtcdJson.readWatchResponse(line.toByteArray());
                if (response instanceof KeyValueResponse.Changed && !done()) {
                    mListener.accept(response);
                } else if (response != null) {
                    finish(response);
                    cancel();
                }
            } catch (IOException e) {
                fail(false, "unreadable answer: " + e.getMessage());
                cancel();
            }
        }

        private void consumeLines() {
            int lineStart = 0;
            for (int i = 0; i < mReceived.size(); i++) {
                if (mReceived.byteAt(i) == '\n') {
                    if (i > lineStart) {
                        consumeLine(mReceived.substring(lineStart, i));
                    }
                    lineStart = i + 1;
                }
            }
            mReceived = mReceived.substring(lineStart);
        }

        private boolean isWatch() {
            return mRequest instanceof KeyValueRequest.Watch;
        }

        private boolean isWrite() {
            return !(mRequest instanceof KeyValueRequest.Range || isWatch());
        }
    }
}
