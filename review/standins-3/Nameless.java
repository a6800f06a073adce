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

/** Case 14: another writer leaves an entry without an id and with fields missing in the store. */
public final class Nameless {
    private static final int CLIENTS = 8;
    private static final int REQUESTS = 40;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long BOUND_MILLIS = 500;
    private static final long PAUSE_MILLIS = 50;

    private final Record mRecord;
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final AtomicInteger mUnansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger mUnansweredLater = new AtomicInteger();

    private Nameless(Record record) {
        mRecord = record;
    }

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !args[2].equals("0");
        Nameless running = new Nameless(new Record(Path.of(args[1])));
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
        store.put("op/config", config());
        for (int i = 1; i <= 3; i++) {
            String id = "i-" + i;
            PlainServer replica =
                    new PlainServer(ip, (request, socket, out) -> serve(id, request, out));
            store.put(
                    "servers/" + id,
                    "{\"backend\":\"desk\",\"address\":\""
                            + replica.address()
                            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,"
                            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,"
                            + "\"born\":"
                            + System.currentTimeMillis()
                            + "}");
        }
        int front = Program.freePort(ip);
        int ready = Program.freePort(ip);
        Map<String, String> settings =
                Program.settings("edge-z1-1", "edge", ip, Program.freePort(ip), store);
        settings.put("listen.frontend", ip + ":" + front);
        settings.put("listen.readiness", ip + ":" + ready);
        try (Program entry = new Program(root, folder, "entry", settings)) {
            if (!Program.awaitReady(ip + ":" + ready, 30_000)) {
                throw new IOException("the entry is not ready");
            }
            Thread.sleep(4_500);
            if (trouble) {
                String foreign =
                        "{\"backend\":\"desk\",\"address\":\"127.0.0.1:"
                                + Program.freePort(ip)
                                + "\",\"zone\":\"z1\",\"slots\":6,\"state\":\"ready\"}";
                store.put("servers/", foreign);
                mRecord.line("store: another writer puts servers/ %s", foreign);
            }
            Thread.sleep(1_500);
            CountDownLatch done = new CountDownLatch(CLIENTS);
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                PlainServer.thread(
                        () -> {
                            for (int n = 0; n < REQUESTS; n++) {
                                call("c" + client + "-" + n, ip, front);
                            }
                            done.countDown();
                        });
            }
            if (!done.await(80, TimeUnit.SECONDS)) {
                throw new IOException("clients hang");
            }
            mRecord.line("the entry runs=%s", entry.isAlive());
        }
        int atTimeout = mUnansweredAtTimeout.get();
        int later = mUnansweredLater.get();
        mRecord.line(
                "requests=%d served=%d other=%d unanswered_at_timeout=%d"
                        + " unanswered_half_a_second_later=%d",
                CLIENTS * REQUESTS, mServed.get(), mOther.get(), atTimeout, later);
        boolean broken = later * 2 > atTimeout;
        mRecord.line(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"h.example\","
                + "\"prefix\":\"/cut/\",\"type\":\"non_idempotent\",\"timeout_ms\":"
                + TIMEOUT_MILLIS
                + ",\"target_latency_ms\":200,\"priority\":2,\"backend\":\"desk\","
                + "\"max_attempts\":1,\"public\":false}],\"backends\":[{\"name\":\"desk\","
                + "\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                + "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
    }

    private boolean serve(String instance, Http.Message request, OutputStream out)
            throws Exception {
        String id = request.field("attempt-id");
        if (!request.field("expect-instance").equals(instance)) {
            out.write(
                    ("HTTP/1.1 421 X\r\nAttempt-Id: "
                                    + id
                                    + "\r\nInstance-Id: "
                                    + instance
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        mRecord.line("replica %s: runs %s", instance, id);
        Thread.sleep(20);
        out.write(PlainServer.answer(id, 200, "", "done".getBytes(StandardCharsets.US_ASCII)));
        return true;
    }

    private void call(String id, String ip, int front) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            String request =
                    "POST /cut/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                            + id
                            + "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer k1\r\n"
                            + "Content-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            long sent = System.nanoTime();
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
                            "client: %s has no answer after %d ms",
                            id, (System.nanoTime() - sent) / 1_000_000);
                    return;
                }
            }
            (answer != null && answer.status() == 200 ? mServed : mOther).incrementAndGet();
            mRecord.line(
                    "client: %s gets %s", id, answer == null ? "a close" : answer.mFirstLine);
            Thread.sleep(PAUSE_MILLIS);
        } catch (IOException | InterruptedException failure) {
            mOther.incrementAndGet();
            mRecord.line("client: %s ends: %s", id, failure);
        }
    }
}
