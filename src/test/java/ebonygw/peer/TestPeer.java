package ebonygw.peer;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A transport on the loopback address whose listener records its events as text. */
final class TestPeer implements PeerListener, AutoCloseable {
    private static final long WAIT_SECONDS = 20;

    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private final PeerTransport mTransport;

    TestPeer(Member self, PeerOptions options, Optional<PeerTls> tls) {
        mTransport =
                new PeerTransport(
                        self, options, new PeerCodec(List.of()), tls, new Random(1), this);
    }

    TestPeer(String id, long incarnation, Role role) {
        this(member(id, incarnation, role), PeerOptions.defaults(), Optional.empty());
    }

    static Member member(String id, long incarnation, Role role) {
        return new Member(
                new NodeId(id),
                incarnation,
                role,
                MemberState.JOINING,
                new Locality("kingston", "kingston-1"),
                "127.0.0.1:0",
                "");
    }

    void await(String expected) throws InterruptedException {
        for (String event = next(); !event.equals(expected); event = next()) {
            assertThat(event).isNotEmpty();
        }
    }

    @Override
    public void close() {
        mTransport.close();
    }

    @Override
    public void down(NodeId peer, long incarnation) {
        mEvents.add("down " + peer + "/" + incarnation);
    }

    BlockingQueue<String> events() {
        return mEvents;
    }

    NodeId id() {
        return mTransport.self().id();
    }

    @Override
    public void message(NodeId peer, long incarnation, Message message) {
        if (message instanceof MemberMessage.Heartbeat heartbeat) {
            mEvents.add("heartbeat " + heartbeat.sequence());
        } else if (message instanceof MemberMessage.Hello hello) {
            mEvents.add("hello " + hello.self().id() + " " + hello.self().state());
        } else {
            mEvents.add("other");
        }
    }

    String next() throws InterruptedException {
        String event = mEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(event).as("event of %s within %s s", id(), WAIT_SECONDS).isNotNull();
        return event;
    }

    void sendUntilReceived(TestPeer other) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        String event = "";
        while (!event.startsWith("heartbeat") && System.nanoTime() < end) {
            mTransport.send(other.id(), new MemberMessage.Heartbeat(1, 0));
            String polled = other.mEvents.poll(50, TimeUnit.MILLISECONDS);
            event = polled == null ? "" : polled;
        }
        assertThat(event).startsWith("heartbeat");
    }

    PeerTransport transport() {
        return mTransport;
    }

    @Override
    public void up(NodeId peer, long incarnation) {
        mEvents.add("up " + peer + "/" + incarnation);
    }
}
