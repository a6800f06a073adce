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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Case 12: clients read their answers slowly, while others ask for short ones. */
public final class SlowReaders {
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int READERS = 240;
    private static final int CALLERS = 8;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long BOUND_MILLIS = 500;
    private static final long READ_MILLIS = 12_000;
    private static final int SLICE_BYTES = 16 * 1024;

    /** A replica cuts off an answer that remains unread for so long. */
    private static final long UNREAD_NANOS = 5_000_000_000L;

    private final Record mRecord;
    private final AtomicBoolean mStop = new AtomicBoolean();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final AtomicInteger mUnansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger mUnansweredLater = new AtomicInteger();
    private final AtomicInteger mCutOff = new AtomicInteger();
    private final AtomicInteger mSlowHeads = new AtomicInteger();

    private SlowReaders(Record record) {
        mRecord = record;
    }

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !args[2].equals("0");
        SlowReaders running = new SlowReaders(new Record(Path.of(args[1])));
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
        for (int i = 1; i <= 2; i++) {
            PlainServer replica = new PlainServer(ip, this::serve);
            store.put(
                    "servers/i-" + i,
                    "{\"backend\":\"desk\",\"address\":\""
                            + replica.address()
                            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":300,"
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
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                PlainServer.thread(
                        () -> {
                            for (int n = 0; !mStop.get(); n++) {
                                call("c" + caller + "-" + n, ip, front);
                            }
                        });
            }
            Thread.sleep(2_000);
            for (int i = 0; i < READERS; i++) {
                String id = "r" + i;
                PlainServer.thread(() -> readSlowly(id, ip, front, trouble));
                Thread.sleep(10);
            }
            Thread.sleep(READ_MILLIS);
            mStop.set(true);
            Thread.sleep(TIMEOUT_MILLIS + 2 * BOUND_MILLIS);
            mRecord.line(
                    "the entry runs=%s, says that it is ready=%s",
                    entry.isAlive(), Program.readiness(ip + ":" + ready) == 200);
            entry.log()
                    .lines()
                    .filter(line -> line.contains("OutOfMemoryError"))
                    .limit(3)
                    .forEach(
                            line ->
                                    mRecord.line(
                                            "entry's log: %s",
                                            line.substring(0, Math.min(400, line.length()))));
        }
        int atTimeout = mUnansweredAtTimeout.get();
        int later = mUnansweredLater.get();
        mRecord.line(
                "slow readers with a head=%d cut off by replicas=%d; short requests: served=%d other=%d"
                        + " unanswered_at_timeout=%d unanswered_half_a_second_later=%d",
                mSlowHeads.get(), mCutOff.get(), mServed.get(), mOther.get(), atTimeout, later);
        boolean broken = later * 2 > atTimeout;
        mRecord.line(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + route("short", TIMEOUT_MILLIS)
                + ","
                + route("long", 30_000)
                + "],\"backends\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
                + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
                + "\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
    }

    private static String route(String name, long timeoutMillis) {
        return "{\"name\":\""
                + name
                + "\",\"hostname\":\"h.example\",\"prefix\":\"/"
                + name
                + "/\",\"type\":\"idempotent\",\"timeout_ms\":"
                + timeoutMillis
                + ",\"target_latency_ms\":1000,\"priority\":1,\"backend\":\"desk\","
                + "\"max_attempts\":2,\"public\":false}";
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws Exception {
        boolean isLong = request.target().startsWith("/long/");
        String id = request.field("attempt-id");
        mRecord.line("replica: runs %s", id);
        byte[] answer =
                PlainServer.answer(id, 200, "", new byte[isLong ? ANSWER_BYTES : 800]);
        AtomicLong progressNanos = new AtomicLong(System.nanoTime());
        AtomicBoolean written = new AtomicBoolean();
        if (isLong) {
            PlainServer.thread(() -> cutOffIfUnread(socket, progressNanos, written));
        }
        for (int at = 0; at < answer.length; at += SLICE_BYTES) {
            out.write(answer, at, Math.min(SLICE_BYTES, answer.length - at));
            progressNanos.set(System.nanoTime());
        }
        written.set(true);
        return true;
    }

    /** Resets the channel of an answer of which nothing has been read for some seconds. */
    private void cutOffIfUnread(Socket socket, AtomicLong progressNanos, AtomicBoolean written) {
        try {
            while (!written.get()) {
                if (System.nanoTime() - progressNanos.get() > UNREAD_NANOS) {
                    mCutOff.incrementAndGet();
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                Thread.sleep(100);
            }
        } catch (IOException | InterruptedException ended) {
            // The entry has closed the channel.
        }
    }

    private static String request(String path, String id, long deadlineMillis) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                + id
                + "\r\nDeadline-Ms: "
                + deadlineMillis
                + "\r\nAuthorization: Bearer k1\r\n\r\n";
    }

    private void readSlowly(String id, String ip, int front, boolean slow) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write(request("/long/1", id, 30_000).getBytes(StandardCharsets.ISO_8859_1));
            mRecord.line("slow reader: %s is sent", id);
            InputStream input = socket.getInputStream();
            byte[] buffer = new byte[slow ? 4_096 : 65_536];
            long read = 0;
            for (int count = input.read(buffer); count >= 0 && !mStop.get(); ) {
                if (read == 0) {
                    mSlowHeads.incrementAndGet();
                }
                read += count;
                if (read >= ANSWER_BYTES) {
                    mRecord.line("slow reader: %s has its answer", id);
                    return;
                }
                if (slow) {
                    Thread.sleep(200);
                }
                count = input.read(buffer);
            }
        } catch (IOException | InterruptedException ended) {
            mRecord.line("slow reader: %s ends: %s", id, ended);
        }
    }

    private void call(String id, String ip, int front) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            socket.getOutputStream()
                    .write(request("/short/1", id, 4_000).getBytes(StandardCharsets.ISO_8859_1));
            long sent = System.nanoTime();
            mRecord.line("client: %s is sent", id);
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
            Thread.sleep(50);
        } catch (IOException | InterruptedException failure) {
            mOther.incrementAndGet();
            mRecord.line("client: %s ends: %s", id, failure);
        }
    }
}
