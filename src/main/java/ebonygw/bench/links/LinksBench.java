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
 * {@code bench links}: measures the encoded sizes of messages, the message rate in one direction
 * and the round-trip time between two {@link PeerTransport}s in one JVM.
 */
public final class LinksBench implements Command {
    private static final int BODY_BYTES = 200;
    private static final int RUN_BODY_BYTES = 1_000;
    // The sender checks the receiver after each window, so at most three windows are in flight.
    private static final int WINDOW_MESSAGES = 1_000;
    private static final int WARM_UP_MESSAGES = 200_000;
    private static final int MEASURED_MESSAGES = 1_000_000;
    private static final int MEASURED_ROUND_TRIPS = 20_000;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    /** Creates the benchmark. */
    public LinksBench() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Map<String, Object> figures = new LinkedHashMap<>(encodedSizes());
        CountingPeerListener receiver = new CountingPeerListener();
        CountingPeerListener sender = new CountingPeerListener();
        try (PeerTransport target = transport("target-1", Role.TARGET, receiver);
                PeerTransport entry = transport("entry-1", Role.ENTRY, sender)) {
            entry.setDesiredPeers(Set.of(target.self()));
            sender.awaitConnected();
            receiver.awaitConnected();
            sendAll(entry, target.self().id(), receiver, WARM_UP_MESSAGES);
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

    /** Returns the size of each kind of message on the wire, with its length prefix. */
    private static Map<String, Object> encodedSizes() {
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

    private static void measureRate(
            PeerTransport entry,
            NodeId to,
            CountingPeerListener receiver,
            Map<String, Object> figures)
            throws InterruptedException {
        long cpu = processCpuNanos();
        long start = System.nanoTime();
        sendAll(entry, to, receiver, MEASURED_MESSAGES);
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpuSeconds = (processCpuNanos() - cpu) / 1e9;
        figures.put("body_messages_per_second", Math.round(MEASURED_MESSAGES / seconds));
        figures.put("body_messages_per_cpu_second", Math.round(MEASURED_MESSAGES / cpuSeconds));
    }

    private static void measureRoundTrips(
            PeerTransport entry,
            PeerTransport target,
            CountingPeerListener sender,
            CountingPeerListener receiver,
            Map<String, Object> figures)
            throws InterruptedException {
        receiver.setMessageHandler(message -> target.send(entry.self().id(), message));
        Histogram roundTripNanos = new Histogram(3);
        // The first half of the round trips is warm-up.
        for (int i = 0; i < 2 * MEASURED_ROUND_TRIPS; i++) {
            long before = sender.messageCount();
            long start = System.nanoTime();
            entry.send(target.self().id(), new MemberMessage.Heartbeat(i, 0));
            sender.awaitMessageCount(before + 1);
            if (i >= MEASURED_ROUND_TRIPS) {
                roundTripNanos.recordValue(System.nanoTime() - start);
            }
        }
        figures.put("round_trip_p50_micros", micros(roundTripNanos, MEDIAN_PERCENTILE));
        figures.put("round_trip_p99_micros", micros(roundTripNanos, TAIL_PERCENTILE));
    }

    /** Returns a percentile in microseconds, rounded to one decimal place. */
    private static double micros(Histogram histogram, double percentile) {
        return Math.round(histogram.getValueAtPercentile(percentile) / NANOS_PER_MICRO * 10) / 10.0;
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static RequestId requestId() {
        return new RequestId(new NodeId("entry-1"), 1_764_800_000_000_000_000L, 123_456);
    }

    /** Sends messages and waits until all are received. */
    private static void sendAll(
            PeerTransport entry, NodeId to, CountingPeerListener receiver, int count)
            throws InterruptedException {
        long initialCount = receiver.messageCount();
        for (int sent = 0; sent < count; sent++) {
            if (sent % WINDOW_MESSAGES == 0 && sent >= 2 * WINDOW_MESSAGES) {
                receiver.awaitMessageCount(initialCount + sent - 2 * WINDOW_MESSAGES);
            }
            entry.send(to, body(sent));
        }
        receiver.awaitMessageCount(initialCount + count);
    }

    private static PeerTransport transport(String id, Role role, CountingPeerListener listener) {
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
