package ebonygw.keyvalue;

import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.xnio.IoUtils;

/**
 * Carries key-value calls to the service over the published JSON form of etcd v3.
 *
 * <p>Each call but the cancelling of a watch gets a reply, at the latest after the time limit. A
 * call that never reached an endpoint is tried at the others; one that was sent is not repeated
 * here. Thread-safe; replies run on one thread of the client.
 */
public final class KeyValueClient implements Closeable {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final KeyValueClientOptions mOptions;
    private final HttpExchanges mExchanges;
    private final Deque<Pending> mWaiting = new ArrayDeque<>();
    private final Map<Long, Pending> mWatches = new HashMap<>();
    private int mEndpoint;
    private double mAllowance;
    private long mAllowanceAtNanos = System.nanoTime();
    private boolean mTimerSet;

    /**
     * Creates a client; it connects on the first call.
     *
     * @throws IOException if its thread cannot be started
     */
    public KeyValueClient(KeyValueClientOptions options) throws IOException {
        mOptions = Objects.requireNonNull(options, "options");
        mExchanges = new HttpExchanges();
        mAllowance = options.callsPerSecond();
    }

    /**
     * Starts a call.
     *
     * @param callId its identifier, unique while it is open
     * @param call the call
     * @param reply gets the reply, for a watch each one until a failure or a compaction
     */
    public void call(long callId, KeyValueCall call, Consumer<KeyValueReply> reply) {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(reply, "reply");
        mExchanges.execute(() -> accept(new Pending(callId, call, reply)));
    }

    /** Ends all connections; open calls fail. */
    @Override
    public void close() {
        mExchanges.close();
    }

    private void accept(Pending pending) {
        if (pending.mCall instanceof KeyValueCall.WatchCancel) {
            Pending watch = mWatches.remove(pending.mCallId);
            if (watch != null) {
                watch.cancel();
            }
            return;
        }
        if (mWaiting.size() >= mOptions.maxWaiting()) {
            pending.fail(false, "too many calls wait");
            return;
        }
        if (pending.mCall instanceof KeyValueCall.Watch) {
            mWatches.put(pending.mCallId, pending);
        }
        mWaiting.add(pending);
        drain();
    }

    private void drain() {
        long nowNanos = System.nanoTime();
        double earned =
                (double) (nowNanos - mAllowanceAtNanos) / SECOND_NANOS * mOptions.callsPerSecond();
        mAllowance = Math.min(mOptions.callsPerSecond(), mAllowance + earned);
        mAllowanceAtNanos = nowNanos;
        while (!mWaiting.isEmpty() && mAllowance >= 1) {
            Pending pending = mWaiting.poll();
            if (pending.mDone) {
                continue;
            }
            if (nowNanos - pending.mSinceNanos > mOptions.timeoutNanos()) {
                pending.fail(false, "call rate bound");
                continue;
            }
            mAllowance--;
            pending.send();
        }
        if (!mWaiting.isEmpty() && !mTimerSet) {
            mTimerSet = true;
            mExchanges.executeAfter(
                    () -> {
                        mTimerSet = false;
                        drain();
                    },
                    SECOND_NANOS / mOptions.callsPerSecond());
        }
    }

    private final class Pending implements HttpExchanges.Listener {
        private final long mCallId;
        private final KeyValueCall mCall;
        private final Consumer<KeyValueReply> mReply;
        private final long mSinceNanos = System.nanoTime();
        private int mAttempts;
        private boolean mDone;
        private Closeable mExchange;

        Pending(long callId, KeyValueCall call, Consumer<KeyValueReply> reply) {
            mCallId = callId;
            mCall = call;
            mReply = reply;
        }

        @Override
        public void answered(int status, byte[] body) {
            if (mCall instanceof KeyValueCall.Watch) {
                fail(false, "watch ended with status " + status);
                return;
            }
            if (status != STATUS_OK) {
                boolean effect = writes() && status >= STATUS_SERVER_ERROR;
                fail(effect, "status " + status + " " + shortText(body));
                return;
            }
            try {
                finish(EtcdJson.readReply(mCall, body));
            } catch (IOException e) {
                fail(writes(), "unreadable answer: " + e.getMessage());
            }
        }

        @Override
        public void failed(boolean sent, String detail) {
            mEndpoint = (mEndpoint + 1) % mOptions.endpoints().size();
            boolean late = System.nanoTime() - mSinceNanos >= mOptions.timeoutNanos();
            if (!sent && !late && !mDone && mAttempts < mOptions.endpoints().size()) {
                send();
                return;
            }
            fail(sent && writes(), detail);
        }

        @Override
        public void line(byte[] line) {
            try {
                KeyValueReply reply = EtcdJson.readWatchReply(line);
                if (reply == null || mDone) {
                    return;
                }
                if (reply instanceof KeyValueReply.Changed) {
                    mReply.accept(reply);
                    return;
                }
                IoUtils.safeClose(mExchange);
                finish(reply);
            } catch (IOException e) {
                IoUtils.safeClose(mExchange);
                fail(false, "unreadable answer: " + e.getMessage());
            }
        }

        void cancel() {
            mDone = true;
            IoUtils.safeClose(mExchange);
        }

        void fail(boolean mayHaveTakenEffect, String detail) {
            finish(new KeyValueReply.Failed(mayHaveTakenEffect, detail));
        }

        void send() {
            mAttempts++;
            URI endpoint = mOptions.endpoints().get(mEndpoint);
            boolean watch = mCall instanceof KeyValueCall.Watch;
            long spentNanos = System.nanoTime() - mSinceNanos;
            mExchange =
                    mExchanges.send(
                            new HttpExchanges.Request(
                                    endpoint,
                                    "POST",
                                    EtcdJson.path(mCall),
                                    Map.of(),
                                    EtcdJson.writeCall(mCall),
                                    watch ? 0 : Math.max(1, mOptions.timeoutNanos() - spentNanos),
                                    MAX_ANSWER_BYTES),
                            this);
        }

        private void finish(KeyValueReply reply) {
            if (mDone) {
                return;
            }
            mDone = true;
            mWatches.remove(mCallId, this);
            if (reply instanceof KeyValueReply.Failed failed) {
                Logger.debug(
                        "event=key-value-failed call={} may-have-taken-effect={} detail=\"{}\"",
                        mCall.getClass().getSimpleName(),
                        failed.mayHaveTakenEffect(),
                        failed.detail());
            }
            mReply.accept(reply);
        }

        private String shortText(byte[] body) {
            int length = Math.min(body.length, 200);
            return new String(body, 0, length, StandardCharsets.UTF_8);
        }

        private boolean writes() {
            return !(mCall instanceof KeyValueCall.Range || mCall instanceof KeyValueCall.Watch);
        }
    }
}
