package ebonygw.bench.links;

import com.google.protobuf.ByteString;
import ebonygw.cli.Command;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.peer.PeerCodec;
import ebonygw.peer.PeerOptions;
import ebonygw.peer.PeerTransport;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.RequestMessage;
import ebonygw.request.Work;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures encoded sizes, messages a second in one direction and the round trip between two
 * transports in one Java machine.
 */
public final class LinksBench implements Command {
    private static final int BODY_BYTES = 200;
    private static final int RUN_BODY_BYTES = 1_000;
    private static final int WINDOW = 1_000;
    private static final int WARM_UP = 200_000;
    private static final int MEASURED = 1_000_000;
    private static final int ROUND_TRIPS = 20_000;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINTH = 99;

    /** Creates the experiment. */
    public LinksBench() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Map<String, Object> figures = new LinkedHashMap<>(sizes());
        BenchPeer receiver = new BenchPeer();
        BenchPeer sender = new BenchPeer();
        try (PeerTransport target = transport("target-1", Role.TARGET, receiver);
                PeerTransport entry = transport("entry-1", Role.ENTRY, sender)) {
            entry.links(Set.of(target.self()));
            sender.awaitUp();
            receiver.awaitUp();
            sendAll(entry, target.self().id(), receiver, WARM_UP);
            measureRate(entry, target.self().id(), receiver, figures);
            measureRoundTrips(entry, target, sender, receiver, figures);
        }
        figures.forEach((name, value) -> out.println(name + "=" + value));
        return OK;
    }

    private static RequestMessage.Body body(long index) {
        return new RequestMessage.Body(
                requestId(), 1, index, ByteString.copyFrom(new byte[BODY_BYTES]));
    }

    private static void measureRate(
            PeerTransport entry, NodeId to, BenchPeer receiver, Map<String, Object> figures)
            throws InterruptedException {
        long cpu = processCpuNanos();
        long start = System.nanoTime();
        sendAll(entry, to, receiver, MEASURED);
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpuSeconds = (processCpuNanos() - cpu) / 1e9;
        figures.put("body_messages_per_second", Math.round(MEASURED / seconds));
        figures.put("body_messages_per_cpu_second", Math.round(MEASURED / cpuSeconds));
    }

    private static void measureRoundTrips(
            PeerTransport entry,
            PeerTransport target,
            BenchPeer sender,
            BenchPeer receiver,
            Map<String, Object> figures)
            throws InterruptedException {
        receiver.echo(message -> target.send(entry.self().id(), message));
        Histogram times = new Histogram(3);
        for (int i = 0; i < 2 * ROUND_TRIPS; i++) {
            long before = sender.count();
            long start = System.nanoTime();
            entry.send(target.self().id(), new MemberMessage.Heartbeat(i, 0));
            sender.awaitCount(before + 1);
            if (i >= ROUND_TRIPS) {
                times.recordValue(System.nanoTime() - start);
            }
        }
        figures.put("round_trip_p50_micros", micros(times, MEDIAN));
        figures.put("round_trip_p99_micros", micros(times, NINETY_NINTH));
    }

    private static double micros(Histogram times, double percentile) {
        return Math.round(times.getValueAtPercentile(percentile) / NANOS_PER_MICRO * 10) / 10.0;
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static RequestId requestId() {
        return new RequestId(new NodeId("entry-1"), 1_764_800_000_000_000_000L, 123_456);
    }

    private static void sendAll(PeerTransport entry, NodeId to, BenchPeer receiver, int count)
            throws InterruptedException {
        long base = receiver.count();
        for (int sent = 0; sent < count; sent++) {
            if (sent % WINDOW == 0 && sent >= 2 * WINDOW) {
                receiver.awaitCount(base + sent - 2 * WINDOW);
            }
            entry.send(to, body(sent));
        }
        receiver.awaitCount(base + count);
    }

    private static Map<String, Object> sizes() {
        PeerCodec codec = new PeerCodec(List.of());
        Map<String, Object> sizes = new LinkedHashMap<>();
        List<AdapterVersion> resident = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            resident.add(new AdapterVersion("adapter-0" + i, "v1"));
        }
        Payload payload =
                new Payload(
                        "POST",
                        "/v1/completions",
                        Map.of("content-type", "application/json"),
                        ByteString.copyFrom(new byte[RUN_BODY_BYTES]));
        Work work =
                new Work(
                        requestId(),
                        1,
                        "harbourside",
                        "key-1",
                        "completions",
                        Optional.of(resident.get(0)),
                        true,
                        0,
                        200,
                        256,
                        0x1234_5678_9abc_def0L,
                        true,
                        payload);
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("heartbeat", new MemberMessage.Heartbeat(123_456, 1_000));
        messages.put(
                "report_of_8_adapters",
                new MemberMessage.TargetReport(1_000, 8, 3, 16, 4_000, resident, List.of()));
        long timeout = TimeUnit.SECONDS.toNanos(30);
        messages.put("run_with_1000_bytes", new RequestMessage.Run(work, timeout, 64));
        messages.put("body_with_200_bytes", body(1));
        messages.put("end", new RequestMessage.End(requestId(), 1, 40, 321));
        messages.forEach(
                (name, message) ->
                        sizes.put(
                                "bytes_of_" + name,
                                Integer.BYTES + codec.encode(message).getSerializedSize()));
        return sizes;
    }

    private static PeerTransport transport(String id, Role role, BenchPeer listener) {
        Member self =
                new Member(
                        new NodeId(id),
                        1,
                        role,
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
                listener);
    }
}
