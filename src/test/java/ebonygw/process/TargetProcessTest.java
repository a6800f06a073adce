package ebonygw.process;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.peer.PeerCodec;
import ebonygw.peer.PeerListener;
import ebonygw.peer.PeerOptions;
import ebonygw.peer.PeerTransport;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.settings.FakeSettings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetProcessTest {
    private static final long WAIT_SECONDS = 20;
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

    @Test
    void messagesThatArriveAfterTheNodeExitsAreAnsweredDuringTheLingerTime() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        TargetProcess target = TargetProcess.start(settings(), Map.of(), TargetProcessTest::node);
        try (PeerTransport entry = entry(events)) {
            entry.setDesiredPeers(Set.of(target.self()));
            assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("up");
            target.requestStop();
            assertThat(target.awaitExit(TimeUnit.SECONDS.toNanos(WAIT_SECONDS))).isTrue();
            Thread closing = new Thread(target::close);
            closing.start();
            entry.send(target.self().id(), new MemberMessage.Heartbeat(1, 0));
            assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("response 1");
            assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("down");
            closing.join();
        }
    }

    private static PeerTransport entry(BlockingQueue<String> events) {
        Member self =
                new Member(
                        new NodeId("entry-1"),
                        1,
                        Role.ENTRY,
                        MemberState.LIVE,
                        new Locality("kingston", "kingston-1"),
                        "127.0.0.1:0",
                        "");
        return new PeerTransport(
                self,
                PeerOptions.defaults(),
                new PeerCodec(List.of()),
                Optional.empty(),
                new Random(1),
                new RecordingListener(events));
    }

    private static NodeDriver<TargetEvent, TargetEffect> node(Member self) {
        NodeDriver.Handler<TargetEvent, TargetEffect> handler =
                (event, now, effects) -> {
                    if (event instanceof TargetEvent.PeerMessageReceived received
                            && received.message() instanceof MemberMessage.Heartbeat heartbeat) {
                        effects.accept(new TargetEffect.Send(received.peer(), heartbeat));
                    } else if (event instanceof TargetEvent.StopRequested) {
                        effects.accept(new TargetEffect.Exit());
                    }
                };
        return new NodeDriver<>(handler, Map::of, () -> true, FakeSettings::new);
    }

    private static TargetSettings settings() throws SettingsException {
        return FlagParser.ofTarget()
                .parse(
                        List.of(
                                "--id=service-1",
                                "--region=kingston",
                                "--data-center=kingston-1",
                                "--peer-address=127.0.0.1:0",
                                "--operator-address=127.0.0.1:0",
                                "--kind=service",
                                "--serves=bookings",
                                "--target=" + UNREACHABLE_ADDRESS,
                                "--key-value=http://" + UNREACHABLE_ADDRESS,
                                "--host-list=http://" + UNREACHABLE_ADDRESS + "/hosts"),
                        Map.of());
    }

    /** Records the events of the peer connections of an entry. */
    private record RecordingListener(BlockingQueue<String> events) implements PeerListener {
        @Override
        public void down(NodeId peer, long incarnation) {
            events.add("down");
        }

        @Override
        public void message(NodeId peer, long incarnation, Message message) {
            if (message instanceof MemberMessage.Heartbeat heartbeat) {
                events.add("response " + heartbeat.sequence());
            }
        }

        @Override
        public void up(NodeId peer, long incarnation) {
            events.add("up");
        }
    }
}
