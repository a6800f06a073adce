package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 12: many users upload bodies of the permitted length to one entry at once. */
public final class Uploads {
    /** The value of max_body_bytes in the deployment's configuration. */
    private static final int BODY_BYTES = 4_194_304;

    private static final int USUAL_CLIENTS = 12;

    /** Largest dose of a burst in the site file, cut to a whole number of clients. */
    private static final double BURST = 2.4;

    /** A client sends this many bytes at a time, about 18 Mbit/s. */
    private static final int SLICE_BYTES = 65_536;

    private static final long SLICE_MILLIS = 30;

    private static final long TIMEOUT_MILLIS = 6_000;
    private static final long BOUND_MILLIS = 500;
    private static final long DEADLINE_MILLIS = 9_000;

    private final Record mRecord;
    private final AtomicInteger mRuns = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final AtomicInteger mUnansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger mUnansweredLater = new AtomicInteger();

    private Uploads(Record record) {
        mRecord = record;
    }

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !args[2].equals("0");
        Uploads running = new Uploads(new Record(Path.of(args[1])));
        int status;
        try {
            status = running.run(root, Files.createTempDirectory("review3"), trouble);
        } catch (Exception failure) {
            running.mRecord.line("cannot run: %s", failure);
            status = 2;
        }
        System.exit(status);
    }

    private int run(Path root, Path folder, boolean trouble) throws Exception {
        String ip = "127.0.0.1";
        Store store = new Store();
        PlainServer replica = new PlainServer(ip, this::serve);
        store.put("op/config", config());
        store.put("servers/i-1", registration(replica.address()));
        int front = Program.freePort(ip);
        int ready = Program.freePort(ip);
        Map<String, String> settings =
                Program.settings("edge-z1-1", "edge", ip, Program.freePort(ip), store);
        settings.put("listen.frontend", ip + ":" + front);
        settings.put("listen.readiness", ip + ":" + ready);
        int clients = trouble ? (int) (USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        try (Program entry = new Program(root, folder, "entry", settings)) {
            if (!Program.awaitReady(ip + ":" + ready, 30_000)) {
                throw new IOException("the entry is not ready");
            }
            // In touch: contact_ms after the start.
            Thread.sleep(4_500);
            mRecord.line("%d clients upload %d bytes each", clients, BODY_BYTES);
            CountDownLatch done = new CountDownLatch(clients);
            for (int i = 0; i < clients; i++) {
                String id = "u" + i;
                PlainServer.thread(
                        () -> {
                            call(id, ip, front);
                            done.countDown();
                        });
            }
            if (!done.await(60, TimeUnit.SECONDS)) {
                throw new IOException("clients hang");
            }
            mRecord.line(
                    "the entry runs=%s, says that it is ready=%s",
                    entry.isAlive(), Program.readiness(ip + ":" + ready) == 200);
            entry.log()
                    .lines()
                    .filter(line -> line.contains("OutOfMemoryError"))
                    .limit(5)
                    .forEach(
                            line ->
                                    mRecord.line(
                                            "entry's log: %s",
                                            line.substring(0, Math.min(400, line.length()))));
        }
        int atTimeout = mUnansweredAtTimeout.get();
        int later = mUnansweredLater.get();
        mRecord.line(
                "requests=%d runs=%d served=%d other=%d unanswered_at_timeout=%d"
                        + " unanswered_half_a_second_later=%d",
                clients, mRuns.get(), mServed.get(), mOther.get(), atTimeout, later);
        boolean broken = later * 2 > atTimeout;
        mRecord.line(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"h.example\","
                + "\"prefix\":\"/plan/\",\"type\":\"idempotent\",\"timeout_ms\":"
                + TIMEOUT_MILLIS
                + ",\"target_latency_ms\":1000,\"priority\":1,\"backend\":\"desk\","
                + "\"max_attempts\":2,\"public\":false}],\"backends\":[{\"name\":\"desk\","
                + "\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                + BODY_BYTES
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
    }

    private static String registration(String address) {
        return "{\"backend\":\"desk\",\"address\":\""
                + address
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":0,\"born\":"
                + System.currentTimeMillis()
                + "}";
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.field("attempt-id");
        mRuns.incrementAndGet();
        mRecord.line("replica: %s, %d bytes", id, request.mBody.length);
        Thread.sleep(20);
        out.write(PlainServer.answer(id, 200, "", "done".getBytes(StandardCharsets.US_ASCII)));
        return true;
    }

    private void call(String id, String ip, int front) {
        byte[] slice = new byte[SLICE_BYTES];
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            OutputStream out = socket.getOutputStream();
            String head =
                    "POST /plan/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                            + id
                            + "\r\nDeadline-Ms: "
                            + DEADLINE_MILLIS
                            + "\r\nAuthorization: Bearer k1\r\nContent-Length: "
                            + BODY_BYTES
                            + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int at = 0; at < BODY_BYTES; at += SLICE_BYTES) {
                out.write(slice);
                Thread.sleep(SLICE_MILLIS);
            }
            long sent = System.nanoTime();
            mRecord.line("client: %s has sent its request", id);
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            InputStream input = Http.buffered(socket.getInputStream());
            Http.Message answer;
            try {
                answer = Http.head(input);
            } catch (SocketTimeoutException late) {
                mUnansweredAtTimeout.incrementAndGet();
                socket.setSoTimeout((int) BOUND_MILLIS);
                try {
                    answer = Http.head(input);
                } catch (SocketTimeoutException later) {
                    mUnansweredLater.incrementAndGet();
                    mRecord.line(
                            "client: %s has no answer %d ms after its last byte",
                            id, (System.nanoTime() - sent) / 1_000_000);
                    return;
                }
            }
            if (answer != null && answer.status() == 200) {
                mServed.incrementAndGet();
            } else {
                mOther.incrementAndGet();
            }
            mRecord.line(
                    "client: %s gets %s", id, answer == null ? "a close" : answer.mFirstLine);
        } catch (IOException | InterruptedException failure) {
            mOther.incrementAndGet();
            mRecord.line("client: %s ends: %s", id, failure);
        }
    }
}
