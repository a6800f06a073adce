package ebonygw.process;

import ebonygw.keyvalue.KeyValueCall;
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
 * What entry and target processes share: control thread, clock, links, key-value calls and the way
 * to stop.
 *
 * <p>Thread-safe; the methods that carry out effects are for the control thread.
 *
 * @param <E> type of the events
 */
final class NodeRuntime<E> implements AutoCloseable {
    private static final long DUMP_TIMEOUT_SECONDS = 5;

    private final NodeEvents<E> mEvents;
    private final long mLingerNanos;
    private final WallClock mClock = new WallClock();
    private final long mStartedAtNanos = mClock.nanos();
    private final ControlLoop<E> mLoop;
    private final PeerTransport mPeers;
    private final KeyValueCaller mKeyValue;
    private final CountDownLatch mExit = new CountDownLatch(1);
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile Supplier<Map<String, Object>> mDump = Map::of;
    private volatile long mStopAskedNanos;

    /**
     * Starts to listen for links; nothing is handled before {@link #start}.
     *
     * @param options sizes, times and certificates
     * @param self this process without its incarnation
     * @param keyValue carries key-value calls
     * @param events makes the common events
     * @param handler handles each event on the control thread
     */
    NodeRuntime(
            RuntimeOptions options,
            Member self,
            KeyValueCaller keyValue,
            NodeEvents<E> events,
            ControlLoop.Handler<E> handler) {
        mEvents = events;
        mLingerNanos = options.lingerNanos();
        mKeyValue = keyValue;
        mLoop =
                new ControlLoop<>(
                        "control-" + self.id(),
                        options.controlRing(),
                        options.tickNanos(),
                        events.tick(),
                        mClock::nanos,
                        handler);
        Member incarnated =
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
                        incarnated,
                        options.peers(),
                        new PeerCodec(List.of()),
                        options.peerTls(),
                        new Random(mStartedAtNanos),
                        new Links());
    }

    /** Asks the node to stop gracefully. */
    void askStop() {
        LogLine.of("stop_asked").with("node", self().id()).info();
        mStopAskedNanos = mClock.nanos();
        mLoop.put(mEvents.stopAsked());
    }

    /**
     * Waits until the node said that the process may end.
     *
     * @return whether it did within the time
     */
    boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mExit.await(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Closes links and threads; idempotent.
     *
     * <p>After a stop was asked for, the links stay up for a while, so that what others sent before
     * they heard of it is still answered.
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

    /** Returns the state of the whole process, read on the control thread. */
    Map<String, Object> dump() throws InterruptedException {
        Map<String, Object> dump = new LinkedHashMap<>();
        Member self = self();
        dump.put("id", self.id().name());
        dump.put("incarnation", self.incarnation());
        dump.put("address", self.address());
        dump.put("nowNanos", mClock.nanos());
        dump.put("links", mPeers.dump());
        dump.put("control", control());
        try {
            dump.put("node", mLoop.ask(mDump).get(DUMP_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (TimeoutException busy) {
            dump.put("node", "the control thread did not answer in time");
        } catch (ExecutionException failure) {
            dump.put("node", String.valueOf(failure.getCause()));
        }
        return dump;
    }

    /** Lets the process end. */
    void exit() {
        mExit.countDown();
    }

    /** Takes a new host list. */
    void hostsListed(HostList hosts) {
        mLoop.put(mEvents.hostsListed(hosts));
    }

    /** Starts a key-value call. */
    void keyValue(long callId, KeyValueCall call) {
        mKeyValue.call(callId, call, reply -> mLoop.put(mEvents.keyValueReplied(callId, reply)));
    }

    /** Sets the processes to keep links to. */
    void links(Set<Member> members) {
        mPeers.links(members);
    }

    /** Logs an event of the node. */
    void log(String event, Map<String, String> fields) {
        LogLine.of(event).withAll(fields).info();
    }

    /** Returns the control thread's loop. */
    ControlLoop<E> loop() {
        return mLoop;
    }

    /** Returns the present time of the process's clock. */
    long nowNanos() {
        return mClock.nanos();
    }

    /** Returns the links. */
    PeerTransport peers() {
        return mPeers;
    }

    /** Returns this process. */
    Member self() {
        return mPeers.self();
    }

    /** Sends a message. */
    void send(NodeId to, Message message) {
        mPeers.send(to, message);
    }

    /**
     * Starts the control thread.
     *
     * @param dump reads the node's state, called on the control thread
     */
    void start(Supplier<Map<String, Object>> dump) {
        mDump = dump;
        mLoop.start();
    }

    /** Returns when the process started, which is also its incarnation. */
    long startedAtNanos() {
        return mStartedAtNanos;
    }

    private Map<String, Object> control() {
        Map<String, Object> control = new LinkedHashMap<>();
        control.put("backlog", mLoop.backlog());
        control.put("handled", mLoop.handled());
        control.put("refused", mLoop.refused());
        control.put("failures", mLoop.failures());
        return control;
    }

    private void linger() {
        long left = mStopAskedNanos + mLingerNanos - mClock.nanos();
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, left));
        } catch (InterruptedException interrupted) {
            LogLine.of("linger_interrupted").warn();
            Thread.currentThread().interrupt();
        }
    }

    /** Passes what happens on the links to the control thread. */
    private final class Links implements PeerListener {
        @Override
        public void down(NodeId peer, long incarnation) {
            mLoop.put(mEvents.peerDown(peer, incarnation));
        }

        @Override
        public void message(NodeId peer, long incarnation, Message message) {
            mLoop.put(mEvents.peerSaid(peer, incarnation, message));
        }

        @Override
        public void up(NodeId peer, long incarnation) {
            mLoop.put(mEvents.peerUp(peer, incarnation));
        }
    }
}
