package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
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
 * Carries key-value calls to the service over the published JSON form of etcd v3.
 *
 * <p>Each call but the cancelling of a watch gets a reply, at the latest after the time limit. A
 * call that never reached an endpoint is tried at the others; one that was sent is not repeated
 * here. Thread-safe; replies run on threads of the client.
 */
public final class KeyValueClient implements Closeable {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 16;
    private static final int SUCCESS = 2;
    private static final int SERVER_ERROR = 5;
    private static final int STATUS_CLASS = 100;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long WATCH_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final KeyValueClientOptions mOptions;
    private final List<HttpClient> mEndpoints = new ArrayList<>();
    private final Deque<Pending> mWaiting = new ArrayDeque<>();
    private final Map<Long, Pending> mWatches = new HashMap<>();
    private int mEndpoint;
    private double mAllowance;
    private long mAllowanceAtNanos = System.nanoTime();
    private boolean mTimerSet;

    /**
     * Creates a client; it connects on the first call.
     *
     * @throws IOException if its threads cannot be started
     */
    public KeyValueClient(KeyValueClientOptions options) throws IOException {
        mOptions = Objects.requireNonNull(options, "options");
        mAllowance = options.callsPerSecond();
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
     * Starts a call.
     *
     * @param callId its identifier, unique while it is open
     * @param call the call
     * @param reply gets the reply, for a watch each one until a failure or a compaction
     */
    public synchronized void call(long callId, KeyValueCall call, Consumer<KeyValueReply> reply) {
        Pending pending = new Pending(callId, call, reply);
        if (call instanceof KeyValueCall.WatchCancel) {
            Pending watch = mWatches.remove(callId);
            if (watch != null) {
                watch.cancel();
            }
            return;
        }
        if (mWaiting.size() >= mOptions.maxWaiting()) {
            mEndpoints.get(0).after(1, () -> pending.fail(false, "too many calls wait"));
            return;
        }
        if (call instanceof KeyValueCall.Watch) {
            mWatches.put(callId, pending);
        }
        mWaiting.add(pending);
        drain();
    }

    /** Ends all connections; open calls fail. */
    @Override
    public void close() {
        mEndpoints.forEach(HttpClient::close);
    }

    private synchronized void drain() {
        long nowNanos = System.nanoTime();
        double earned =
                (double) (nowNanos - mAllowanceAtNanos) / SECOND_NANOS * mOptions.callsPerSecond();
        mAllowance = Math.min(mOptions.callsPerSecond(), mAllowance + earned);
        mAllowanceAtNanos = nowNanos;
        while (!mWaiting.isEmpty() && mAllowance >= 1) {
            Pending pending = mWaiting.poll();
            if (!pending.done()) {
                mAllowance--;
                pending.send();
            }
        }
        if (!mWaiting.isEmpty() && !mTimerSet) {
            mTimerSet = true;
            mEndpoints.get(0).after(SECOND_NANOS / mOptions.callsPerSecond(), this::onTimer);
        }
    }

    private synchronized void onTimer() {
        mTimerSet = false;
        drain();
    }

    private synchronized HttpClient endpoint() {
        return mEndpoints.get(mEndpoint);
    }

    private synchronized void passOver(HttpClient endpoint) {
        if (mEndpoints.get(mEndpoint) == endpoint) {
            mEndpoint = (mEndpoint + 1) % mEndpoints.size();
        }
    }

    private synchronized void forget(Pending pending) {
        mWatches.remove(pending.mCallId, pending);
    }

    private final class Pending implements HttpAnswerSink {
        private final long mCallId;
        private final KeyValueCall mCall;
        private final Consumer<KeyValueReply> mReply;
        private final long mSinceNanos = System.nanoTime();
        private ByteString mReceived = ByteString.EMPTY;
        private HttpClient mServer;
        private HttpCall mExchange;
        private int mAttempts;
        private int mStatus;
        private boolean mDone;

        Pending(long callId, KeyValueCall call, Consumer<KeyValueReply> reply) {
            mCallId = callId;
            mCall = Objects.requireNonNull(call, "call");
            mReply = Objects.requireNonNull(reply, "reply");
        }

        @Override
        public void ended() {
            if (watches()) {
                fail(false, "watch ended with status " + mStatus);
                return;
            }
            if (mStatus / STATUS_CLASS != SUCCESS) {
                boolean effect = writes() && mStatus / STATUS_CLASS == SERVER_ERROR;
                fail(effect, "status " + mStatus);
                return;
            }
            try {
                finish(EtcdJson.readReply(mCall, mReceived.toByteArray()));
            } catch (IOException e) {
                fail(writes(), "unreadable answer: " + e.getMessage());
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            passOver(mServer);
            boolean late = System.nanoTime() - mSinceNanos >= mOptions.timeoutNanos();
            if (failure.kind() == HttpFailure.Kind.CONNECT
                    && !late
                    && mAttempts < mEndpoints.size()) {
                send();
                return;
            }
            fail(failure.sent() && writes(), failure.detail());
        }

        @Override
        public void part(ByteString data) {
            mReceived = mReceived.concat(data);
            if (watches()) {
                takeLines();
            }
            if (mReceived.size() > MAX_ANSWER_BYTES) {
                fail(writes(), "answer too long");
                cancel();
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            mStatus = status;
        }

        synchronized void cancel() {
            mDone = true;
            if (mExchange != null) {
                mExchange.cancel();
            }
        }

        synchronized boolean done() {
            return mDone;
        }

        void fail(boolean mayHaveTakenEffect, String detail) {
            finish(new KeyValueReply.Failed(mayHaveTakenEffect, detail));
        }

        /** Sends the call; takes the client's lock before its own, never the other way round. */
        void send() {
            HttpClient server = endpoint();
            long leftNanos = mOptions.timeoutNanos() - (System.nanoTime() - mSinceNanos);
            HttpRequest request =
                    HttpRequest.ofJson(
                            "POST",
                            EtcdJson.path(mCall),
                            ByteString.copyFrom(EtcdJson.writeCall(mCall)));
            HttpCall exchange = server.prepare(request, watches() ? WATCH_NANOS : leftNanos, this);
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mAttempts++;
                mServer = server;
                mExchange = exchange;
            }
            server.send(exchange);
        }

        private void finish(KeyValueReply reply) {
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mDone = true;
            }
            forget(this);
            if (reply instanceof KeyValueReply.Failed failed) {
                Logger.debug(
                        "event=key_value_failed call={} may_have_taken_effect={} detail=\"{}\"",
                        mCall.getClass().getSimpleName(),
                        failed.mayHaveTakenEffect(),
                        failed.detail());
            }
            mReply.accept(reply);
        }

        private void takeLine(ByteString line) {
            try {
                KeyValueReply reply = EtcdJson.readWatchReply(line.toByteArray());
                if (reply instanceof KeyValueReply.Changed && !done()) {
                    mReply.accept(reply);
                } else if (reply != null) {
                    finish(reply);
                    cancel();
                }
            } catch (IOException e) {
                fail(false, "unreadable answer: " + e.getMessage());
                cancel();
            }
        }

        private void takeLines() {
            int from = 0;
            for (int i = 0; i < mReceived.size(); i++) {
                if (mReceived.byteAt(i) == '\n') {
                    if (i > from) {
                        takeLine(mReceived.substring(from, i));
                    }
                    from = i + 1;
                }
            }
            mReceived = mReceived.substring(from);
        }

        private boolean watches() {
            return mCall instanceof KeyValueCall.Watch;
        }

        private boolean writes() {
            return !(mCall instanceof KeyValueCall.Range || watches());
        }
    }
}
