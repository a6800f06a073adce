package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 11: a part crashes each replica that begins to answer it, before a byte of the answer has left. */
public final class SilentCrash {
    private static final int REPLICAS = 8;
    private static final String CRASHING_PART = "dead0bad";
    private static final long RUN_MILLIS = 85_000;
    private static final long CALM_MILLIS = 10_000;
    private static final int SECOND_PARTS = 6;
    private static final long SOUND_MILLIS = 60;
    private static final long CRASHING_MILLIS = 1_000;
    private static final long CONTACT_MILLIS = 4_000;

    /** Three ping intervals, after which the registration of a silent replica is removed. */
    private static final long REMOVED_MILLIS = 3_600;

    private static final long BACK_MILLIS = 4_500;
    private static final int FIFTH = 5;
    private static final int ALLOWED = 3;
    private static final int LEAST = 20;

    private final Record mRecord;
    private final Store mStore;
    private final AtomicInteger mInstances = new AtomicInteger();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private final AtomicInteger mReachedLate = new AtomicInteger();
    private final AtomicInteger mSoundServed = new AtomicInteger();
    private final AtomicInteger mSoundCut = new AtomicInteger();
    private final AtomicInteger mSoundRefused = new AtomicInteger();
    private final AtomicInteger mCrashingRefused = new AtomicInteger();
    private final AtomicInteger mCalmSent = new AtomicInteger();
    private final AtomicInteger mCalmBegun = new AtomicInteger();
    private final AtomicInteger mLaterSent = new AtomicInteger();
    private final AtomicInteger mLaterBegun = new AtomicInteger();

    /** When each sound request was sent. */
    private final Map<String, Long> mSentMillis = new ConcurrentHashMap<>();

    private volatile long mFirstMillis = Long.MAX_VALUE;
    private volatile long mFifthMillis = Long.MAX_VALUE;

    private SilentCrash(Record record, Store store) {
        mRecord = record;
        mStore = store;
    }

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !args[2].equals("0");
        SilentCrash running = new SilentCrash(new Record(Path.of(args[1])), new Store());
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
        mStore.put("op/config", config());
        for (int i = 0; i < REPLICAS; i++) {
            new Replica().start();
        }
        int front = Program.freePort(ip);
        int ready = Program.freePort(ip);
        Map<String, String> settings =
                Program.settings("edge-z1-1", "edge", ip, Program.freePort(ip), mStore);
        settings.put("listen.frontend", ip + ":" + front);
        settings.put("listen.readiness", ip + ":" + ready);
        AtomicBoolean stop = new AtomicBoolean();
        try (Program entry = new Program(root, folder, "entry", settings)) {
            if (!Program.awaitReady(ip + ":" + ready, 30_000)) {
                throw new IOException("the entry is not ready");
            }
            Thread.sleep(4_500);
            mRecord.line("sound requests come, crashing ones=%s", trouble);
            long start = mRecord.millis();
            long nextCrashing = start + CALM_MILLIS;
            for (int n = 0; mRecord.millis() - start < RUN_MILLIS; n++) {
                int sound = n;
                PlainServer.thread(() -> call("s" + sound, false, ip, front));
                if (trouble && mRecord.millis() >= nextCrashing) {
                    nextCrashing += CRASHING_MILLIS;
                    PlainServer.thread(() -> call("x" + sound, true, ip, front));
                }
                Thread.sleep(SOUND_MILLIS);
            }
            Thread.sleep(2_000);
            stop.set(true);
            entry.log()
                    .lines()
                    .filter(line -> line.contains("event=part_"))
                    .limit(12)
                    .forEach(line -> mRecord.line("entry's log: %s", line));
        }
        boolean budget = mReachedLate.get() > ALLOWED;
        double calm = mCalmBegun.get() / (double) Math.max(1, mCalmSent.get());
        double later = mLaterBegun.get() / (double) Math.max(1, mLaterSent.get());
        boolean enough = mCalmSent.get() >= LEAST && mLaterSent.get() >= LEAST;
        boolean lost = enough && later < calm / 2;
        mRecord.line(
                "crashes=%d reached_later_than_contact_after_the_fifth=%d crashing_refused=%d",
                mCrashes.get(), mReachedLate.get(), mCrashingRefused.get());
        mRecord.line(
                "sound: begun before the first crash=%d of %d, later=%d of %d, served=%d cut=%d"
                        + " refused=%d",
                mCalmBegun.get(),
                mCalmSent.get(),
                mLaterBegun.get(),
                mLaterSent.get(),
                mSoundServed.get(),
                mSoundCut.get(),
                mSoundRefused.get());
        mRecord.line("LOST %s, BUDGET %s", lost ? "is broken" : "holds", budget ? "is broken" : "holds");
        return lost || budget ? 1 : 0;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"h.example\","
                + "\"prefix\":\"/plan/\",\"type\":\"streaming\",\"timeout_ms\":6000,"
                + "\"target_latency_ms\":1000,\"priority\":1,\"backend\":\"scribe\","
                + "\"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,"
                + "\"gap_target_ms\":250}],\"backends\":[{\"name\":\"scribe\","
                + "\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":232000,\"models\":["
                + "{\"name\":\"m0\",\"weights_mb\":72700.0,\"load_s\":2.1,\"adapters\":3000,"
                + "\"adapter_mb\":66.0}],\"weights_mb\":74700.0,\"adapter_slots\":8,"
                + "\"loads_per_s\":2.8}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
                + "\"api_keys\":[\"k1\"],\"priority\":1,\"unit\":\"token_count\","
                + "\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";
    }

    /** Returns the prompt of a request; all share the first part, and some the second one. */
    private String prompt(String id, boolean crashing) {
        int second = Math.floorMod(id.hashCode() * 31, SECOND_PARTS);
        return "aa01:2520,bb0"
                + second
                + ":3780,"
                + (crashing ? CRASHING_PART + ":90," : "")
                + Integer.toHexString(0x1000000 + id.hashCode() & 0xfffffff)
                + ":2890";
    }

    /** Counts a sound request of before the first crash, or of 2 x contact_ms after the fifth. */
    private void count(long sentMillis, AtomicInteger calm, AtomicInteger later) {
        if (sentMillis < mFirstMillis) {
            calm.incrementAndGet();
        } else if (mFifthMillis != Long.MAX_VALUE
                && sentMillis - mFifthMillis > 2 * CONTACT_MILLIS) {
            later.incrementAndGet();
        }
    }

    private void noteBegin(String id) {
        Long sent = mSentMillis.remove(id);
        if (sent != null) {
            count(sent, mCalmBegun, mLaterBegun);
        }
    }

    private void call(String id, boolean crashing, String ip, int front) {
        String end;
        if (!crashing) {
            long now = mRecord.millis();
            mSentMillis.put(id, now);
            count(now, mCalmSent, mLaterSent);
        }
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            socket.setSoTimeout(6_000);
            String request =
                    "POST /plan/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                            + id
                            + "\r\nModel: m0\r\nToken-Usage: "
                            + 9190
                            + ",52\r\nPrompt-Prefix: "
                            + prompt(id, crashing)
                            + "\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer k1\r\n"
                            + "Content-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            mRecord.line("client: %s is sent, crashing part=%s", id, crashing);
            InputStream input = Http.buffered(socket.getInputStream());
            Http.Message answer = Http.head(input);
            if (answer == null) {
                end = "a close";
            } else {
                Http.body(answer, input);
                end = Integer.toString(answer.status());
            }
        } catch (IOException cut) {
            end = "cut: " + cut.getMessage();
        }
        if (crashing) {
            mCrashingRefused.addAndGet(end.equals("503") ? 1 : 0);
            mRecord.line("client: %s with the crashing part gets %s", id, end);
        } else {
            (end.equals("200") ? mSoundServed : end.equals("503") ? mSoundRefused : mSoundCut)
                    .incrementAndGet();
            mRecord.line("client: %s gets %s", id, end);
        }
    }

    /** A replica with one base model, which crashes under the part and comes back. */
    private final class Replica {
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
        private final AtomicBoolean mDown = new AtomicBoolean();
        private PlainServer mServer;
        private String mId;

        void start() throws IOException {
            mId = "i-" + mInstances.incrementAndGet();
            mServer = new PlainServer("127.0.0.1", this::serve);
            mStore.put(
                    "servers/" + mId,
                    "{\"backend\":\"scribe\",\"address\":\""
                            + mServer.address()
                            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,"
                            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"mixed\","
                            + "\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
                            + "\"sequence\":0,\"born\":"
                            + System.currentTimeMillis()
                            + "}");
            mRecord.line("replica %s starts", mId);
        }

        private boolean serve(Http.Message request, Socket socket, OutputStream out)
                throws Exception {
            mSockets.add(socket);
            if (mDown.get()) {
                return false;
            }
            String id = request.field("attempt-id");
            boolean crashing = request.field("prompt-prefix").contains(CRASHING_PART);
            long now = mRecord.millis();
            if (crashing) {
                boolean late =
                        mFifthMillis != Long.MAX_VALUE && now - mFifthMillis > CONTACT_MILLIS;
                mReachedLate.addAndGet(late ? 1 : 0);
                mRecord.line("replica %s: begins %s%s", mId, id, late ? " LATE" : "");
            } else {
                mRecord.line("replica %s: begins %s", mId, id);
            }
            Thread.sleep(30);
            if (crashing) {
                crash();
                return false;
            }
            noteBegin(id);
            out.write(
                    ("HTTP/1.1 200 OK\r\nAttempt-Id: "
                                    + id
                                    + "\r\nServer-Signature: sig."
                                    + id
                                    + "\r\nContent-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= 13; event++) {
                String text = "id: " + event + "\ndata: token\n\n";
                String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(20);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }

        private void crash() throws IOException {
            if (!mDown.compareAndSet(false, true)) {
                return;
            }
            int number = mCrashes.incrementAndGet();
            mRecord.line("replica %s crashes, crash %d", mId, number);
            if (number == 1) {
                mFirstMillis = mRecord.millis();
            }
            if (number == FIFTH) {
                mFifthMillis = mRecord.millis();
            }
            mServer.close();
            for (Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            PlainServer.thread(this::comeBack);
        }

        private void comeBack() {
            try {
                Thread.sleep(REMOVED_MILLIS);
                mStore.remove("servers/" + mId);
                Thread.sleep(BACK_MILLIS - REMOVED_MILLIS);
                new Replica().start();
            } catch (IOException | InterruptedException failure) {
                mRecord.line("cannot start a replica: %s", failure);
            }
        }
    }
}
