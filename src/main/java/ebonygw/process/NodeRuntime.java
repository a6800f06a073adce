package ebonygw.process;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.log.LogLine;
import ebonygw.membership.HostList;
import ebonygw.membership.Member;
import ebonygw.peer.PeerCodec;
import ebonygw.peer.PeerListener;
import ebonygw.peer.PeerTransport;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * The parts around a node that all kinds of processes share: control thread, clock, peer
 * connections, key-value requests and graceful stop.
 *
 * <p>Thread-safe; the methods that execute effects are called on the control thread.
 *
 * @param <E> type of the events
 */
final class NodeRuntime<E> implements AutoCloseable {
    private static final long DUMP_TIMEOUT_SECONDS = 5;

    private final NodeEventFactory<E> mEvents;
    private final long mLingerNanos;
    private final WallClock mClock = new WallClock();
    private final long mStartedAtNanos = mClock.nanos();
    private final ControlLoop<E> mLoop;
    private final PeerTransport mPeers;
    private final KeyValueTransport mKeyValue;
    private final CountDownLatch mExit = new CountDownLatch(1);
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile Supplier<Map<String, Object>> mDump = Map::of;
    private volatile long mStopRequestedNanos;

    /**
     * Starts to listen for peer connections; no event is handled before {@link #start}.
     *
     * @param options ring size, times and certificates
     * @param self this process; its incarnation is replaced by the time of the start
     * @param keyValue sends key-value requests
     * @param events creates the events passed to the handler
     * @param handler handles each event on the control thread
     */
    NodeRuntime(
            RuntimeOptions options,
            Member self,
            KeyValueTransport keyValue,
            NodeEventFactory<E> events,
            ControlLoop.Handler<E> handler) {
        mEvents = events;
        mLingerNanos = options.lingerNanos();
        mKeyValue = keyValue;
        mLoop =
                new ControlLoop<>(
                        "control-" + self.id(),
                        options.controlRingSize(),
                        options.tickIntervalNanos(),
                        events.tick(),
                        mClock::nanos,
                        handler);
        Member selfWithIncarnation =
                new Member(
                        self.id(),
                        mStartedAtNanos,
                        self.role(),
                        self.state(),
                        self.locality(),
                        self.address(),
                        self.serves());
        mPeers =
                new PeerTransport(
                        selfWithIncarnation,
                        options.peers(),
                        new PeerCodec(List.of()),
                        options.peerTls(),
                        new Random(mStartedAtNanos),
                        new ConnectionListener());
    }

    /**
     * Waits until the node has allowed the process to exit.
     *
     * @return whether it did so within the timeout
     */
    boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mExit.await(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Closes peer connections and threads; idempotent.
     *
     * <p>The connections stay open until the linger time has passed since the stop request, if
     * there was one, so that messages that peers sent before they were notified of the stop are
     * still handled.
     */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        linger();
        mPeers.close();
        mLoop.close();
    }

    /**
     * Returns the state of the process for the dump; that of the node is read on the control
     * thread.
     */
    Map<String, Object> dump() throws InterruptedException {
        Map<String, Object> dump = new LinkedHashMap<>();
        Member self = self();
        dump.put("id", self.id().name());
        dump.put("incarnation", self.incarnation());
        dump.put("address", self.address());
        dump.put("nowNanos", mClock.nanos());
        dump.put("links", mPeers.dump());
        dump.put("control", controlLoopState());
        try {
            dump.put("node", mLoop.query(mDump).get(DUMP_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (TimeoutException busy) {
            dump.put(
                    "node",
                    "the control thread did not respond within " + DUMP_TIMEOUT_SECONDS + " s");
        } catch (ExecutionException failure) {
            dump.put("node", String.valueOf(failure.getCause()));
        }
        return dump;
    }

    /** Releases {@link #awaitExit}: the node allows the process to exit. */
    void exit() {
        mExit.countDown();
    }

    /** Passes a new host list to the node. */
    void handleHostList(HostList hosts) {
        mLoop.put(mEvents.hostListReceived(hosts));
    }

    /** Logs an event on behalf of the node. */
    void log(String event, Map<String, String> fields) {
        LogLine.of(event).withAll(fields).info();
    }

    ControlLoop<E> loop() {
        return mLoop;
    }

    /** Sets the processes to which connections are kept open. */
    void maintainConnections(Set<Member> members) {
        mPeers.setDesiredPeers(members);
    }

    /** Returns the current time in nanoseconds since the Unix epoch. */
    long nowNanos() {
        return mClock.nanos();
    }

    /** Returns the transport of the peer connections. */
    PeerTransport peers() {
        return mPeers;
    }

    /** Requests a graceful stop of the node. */
    void requestStop() {
        LogLine.of("stop_asked").with("node", self().id()).info();
        mStopRequestedNanos = mClock.nanos();
        mLoop.put(mEvents.stopRequested());
    }

    /** Returns this process with its incarnation. */
    Member self() {
        return mPeers.self();
    }

    /** Sends a message to a peer. */
    void send(NodeId to, Message message) {
        mPeers.send(to, message);
    }

    /** Sends a key-value request; its responses are passed to the node as events. */
    void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mKeyValue.send(
                requestId,
                request,
                response -> mLoop.put(mEvents.keyValueResponseReceived(requestId, response)));
    }

    /**
     * Starts the control thread.
     *
     * @param dump returns the state of the node, called on the control thread
     */
    void start(Supplier<Map<String, Object>> dump) {
        mDump = dump;
        mLoop.start();
    }

    /** Returns the time of the start, which is also the incarnation of the process. */
    long startedAtNanos() {
        return mStartedAtNanos;
    }

    private Map<String, Object> controlLoopState() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("backlog", mLoop.backlog());
        state.put("handled", mLoop.handled());
        state.put("refused", mLoop.refused());
        state.put("failures", mLoop.failures());
        return state;
    }

    private void linger() {
        long remainingNanos = mStopRequestedNanos + mLingerNanos - mClock.nanos();
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, remainingNanos));
        } catch (InterruptedException interrupted) {
            LogLine.of("linger_interrupted").warn();
            Thread.currentThread().interrupt();
        }
    }

    /** Passes events of the peer connections to the control thread. */
    private final class ConnectionListener implements PeerListener {
        @Override
        public void down(NodeId peer, long incarnation) {
            mLoop.put(mEvents.peerDown(peer, incarnation));
        }

        @Override
        public void message(NodeId peer, long incarnation, Message message) {
            mLoop.put(mEvents.peerMessageReceived(peer, incarnation, message));
        }

        @Override
        public void up(NodeId peer, long incarnation) {
            mLoop.put(mEvents.peerUp(peer, incarnation));
        }
    }
}
