import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Rare adapters are asked for at a replica that holds two models. */
public final class TwoModels {
    private static final double WEIGHTS_MB = 74_700;
    private static final double MODEL_MB = 37_200;
    private static final double ADAPTER_MB = 66;
    private static final int ADAPTER_SLOTS = 8;
    private static final int LOAD_MILLIS = 250;
    private static final String REPLICA_IP = "127.0.0.2";

    private static final List<String> USUAL = List.of("m0/a1", "m0/a2", "m1/a1", "m1/a2");
    private static final List<String> RARE = List.of("m0/a11", "m0/a12", "m1/a11", "m1/a12");

    private TwoModels() {}

    public static void main(String[] arguments) throws IOException {
        Case.main(TwoModels::run, arguments);
    }

    private static int run(Path directory, Record record, boolean trouble) throws Exception {
        Engine engine = new Engine(record);
        InetSocketAddress app =
                new InetSocketAddress(REPLICA_IP, Program.freePort(REPLICA_IP));
        int internalPort = Program.freePort(REPLICA_IP);
        try (Store store = new Store();
                Replica replica = new Replica("i-1", app, engine::answer);
                Program entry =
                        new Program(
                                directory,
                                "entry",
                                "entry-1",
                                "127.0.0.1",
                                store.address(),
                                internalPort);
                Program loader =
                        new Program(
                                        directory,
                                        "loader",
                                        "side-1",
                                        REPLICA_IP,
                                        store.address(),
                                        internalPort)
                                .with("app", replica.address())
                                .with("backend", "models")) {
            store.put(
                    "op/config",
                    Case.config(
                            1,
                            List.of(Case.route("note", "streaming", "models", 12_000, 1)),
                            List.of(service()),
                            15_000));
            store.put(
                    "servers/i-1",
                    replica.registration(
                            "models",
                            64,
                            "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]},"
                                    + "{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"));
            loader.start();
            if (!entry.start().awaitReady(30)) {
                return Case.COULD_NOT_RUN;
            }
            TimeUnit.SECONDS.sleep(2);
            int served = ask(entry, USUAL, record);
            if (served < USUAL.size()) {
                return Case.COULD_NOT_RUN;
            }
            Thread usual = Threads.start("usual", () -> ask(entry, USUAL, record));
            TimeUnit.MILLISECONDS.sleep(500);
            ask(entry, trouble ? RARE : USUAL, record);
            usual.join();
            record.add(
                    "orders beyond weights_mb: %d; requests that were broken off: %d",
                    engine.beyondLimit(), engine.brokenOff());
            return engine.beyondLimit() > 0 ? Case.BROKEN : Case.HELD;
        }
    }

    /** Sends a request for each adapter at once; returns how many were served in full. */
    private static int ask(Program entry, List<String> adapters, Record record)
            throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(adapters.size());
        for (String adapter : adapters) {
            String id = "id-" + adapter.replace('/', '-') + "-" + System.nanoTime() % 1_000_000;
            Threads.start(
                    "client",
                    () -> {
                        try (Client client = new Client(entry.frontend())) {
                            String fields =
                                    "Model: "
                                            + adapter
                                            + "\r\nToken-Usage: 100,20\r\nDeadline-Ms: 6000\r\n";
                            client.send(
                                    Client.request(
                                            "POST", "/note/a", id, fields, new byte[] {1}));
                            Client.Answer answer = client.read(7_000);
                            record.add(
                                    "client %s: %d, %s",
                                    id,
                                    answer.status(),
                                    answer.complete() ? "complete" : "broken off");
                            if (answer.status() == 200 && answer.complete()) {
                                served.incrementAndGet();
                            }
                        } finally {
                            done.countDown();
                        }
                    });
        }
        done.await(30, TimeUnit.SECONDS);
        return served.get();
    }

    private static String service() {
        return """
        {"name":"models","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
         "engine":{"slots":64,"kv_capacity":232000,"weights_mb":%s,"adapter_slots":%d,
          "loads_per_s":2.8,"models":[
           {"name":"m0","weights_mb":%s,"load_s":2.1,"adapters":3000,"adapter_mb":%s},
           {"name":"m1","weights_mb":%s,"load_s":2.1,"adapters":3000,"adapter_mb":%s}]}}"""
                .formatted(
                        WEIGHTS_MB, ADAPTER_SLOTS, MODEL_MB, ADAPTER_MB, MODEL_MB, ADAPTER_MB);
    }

    /** A model replica that holds two models; it crashes when it is ordered to hold too much. */
    private static final class Engine {
        private final Record mRecord;
        private final Set<String> mResident = new LinkedHashSet<>();
        private final Set<String> mPending = new LinkedHashSet<>();
        private final List<Replica.Request> mRunning = new ArrayList<>();
        private long mSequence = 1;
        private int mBeyondLimit;
        private int mBrokenOff;
        private boolean mCrashed;

        Engine(Record record) {
            mRecord = record;
        }

        synchronized int beyondLimit() {
            return mBeyondLimit;
        }

        synchronized int brokenOff() {
            return mBrokenOff;
        }

        boolean answer(Replica.Request request, OutputStream out)
                throws IOException, InterruptedException {
            if (isCrashed()) {
                return false;
            }
            switch (request.head().word(1)) {
                case "/report":
                    write(out, 200, report());
                    return true;
                case "/order":
                    int status = order(new String(request.body(), StandardCharsets.UTF_8));
                    if (status > 0) {
                        write(out, status, "{}");
                    }
                    return status > 0;
                default:
                    return stream(request, out);
            }
        }

        private synchronized boolean isCrashed() {
            return mCrashed;
        }

        private synchronized String report() {
            TreeMap<String, List<String>> byModel = new TreeMap<>();
            byModel.put("m0", new ArrayList<>());
            byModel.put("m1", new ArrayList<>());
            mResident.forEach(
                    it -> byModel.get(it.substring(0, 2)).add("\"" + it.substring(3) + "@1\""));
            List<String> models = new ArrayList<>();
            byModel.forEach(
                    (name, adapters) ->
                            models.add(
                                    "{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}"
                                            .formatted(name, String.join(",", adapters))));
            List<String> pending = mPending.stream().map(it -> "\"" + it + "@1\"").toList();
            return """
            {"born":1700000000000,"stage":"mixed","models":[%s],"busy":false,"sequence":%d,
             "queued":0,"active":%d,"kv_used":0,"kv_total":232000,"handles":0,"pending":[%s],
             "runs":[]}"""
                    .formatted(
                            String.join(",", models),
                            mSequence,
                            mRunning.size(),
                            String.join(",", pending));
        }

        /** Carries an order out; returns the status, 0 if the replica crashes. */
        private synchronized int order(String body) throws IOException {
            mRecord.add("order %s", body);
            String model = field(body, "model");
            String adapter = field(body, "adapter");
            if (adapter.isEmpty()) {
                return 200;
            }
            if (!body.contains("\"precondition\":" + mSequence + ",")) {
                return 409;
            }
            String name = model + "/" + adapter;
            mSequence++;
            if (field(body, "operation").equals("unloading")) {
                mResident.remove(name);
                return 200;
            }
            mPending.add(name);
            int adapters = mResident.size() + mPending.size();
            double used = 2 * MODEL_MB + adapters * ADAPTER_MB;
            if (used > WEIGHTS_MB || adapters > ADAPTER_SLOTS) {
                mRecord.add(
                        "the replica holds %.0f MB of %.0f with %d adapters: it crashes",
                        used, WEIGHTS_MB, adapters);
                mBeyondLimit++;
                crash();
                return 0;
            }
            Threads.start(
                    "load",
                    () -> {
                        TimeUnit.MILLISECONDS.sleep(LOAD_MILLIS);
                        synchronized (this) {
                            mPending.remove(name);
                            mResident.add(name);
                        }
                    });
            return 202;
        }

        private void crash() throws IOException {
            mCrashed = true;
            mBrokenOff = mRunning.size();
            for (Replica.Request running : mRunning) {
                running.socket().setSoLinger(true, 0);
                running.socket().close();
            }
        }

        private static String field(String body, String name) {
            int start = body.indexOf("\"" + name + "\":\"");
            if (start < 0) {
                return "";
            }
            start += name.length() + 4;
            return body.substring(start, body.indexOf('"', start));
        }

        /** Runs a request: a stream of ten events over two seconds. */
        private boolean stream(Replica.Request request, OutputStream out)
                throws IOException, InterruptedException {
            synchronized (this) {
                mRunning.add(request);
            }
            mRecord.add("replica runs %s", request.id());
            try {
                String head =
                        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s\r\n"
                                + "Content-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n";
                out.write(
                        head.formatted(request.id(), request.id())
                                .getBytes(StandardCharsets.US_ASCII));
                for (int event = 1; event <= 10; event++) {
                    String text = "id: %d\ndata: token\n\n".formatted(event);
                    out.write(
                            "%x\r\n%s\r\n"
                                    .formatted(text.length(), text)
                                    .getBytes(StandardCharsets.US_ASCII));
                    TimeUnit.MILLISECONDS.sleep(200);
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } finally {
                synchronized (this) {
                    mRunning.remove(request);
                }
            }
            return true;
        }

        private static void write(OutputStream out, int status, String body) throws IOException {
            String answer =
                    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s";
            out.write(
                    answer.formatted(status, body.length(), body)
                            .getBytes(StandardCharsets.US_ASCII));
        }
    }
}
