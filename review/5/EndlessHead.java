import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of two replicas answers some requests with a head that has no end. */
public final class EndlessHead {
    private static final int CLIENTS = 100;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 4_000;
    private static final int WORK_MILLIS = 30;
    private static final int QUIET_MILLIS = 1_000;
    private static final int LENGTH_MILLIS = 12_000;

    /** How many answers have no end, one after the other; far below 5 in 100 of the replica's. */
    private static final int ENDLESS_HEADS = 8;

    /** A head without end is given up after this time, if the entry hasn't closed before. */
    private static final long FLOOD_NANOS = TimeUnit.SECONDS.toNanos(8);

    private EndlessHead() {}

    public static void main(String[] arguments) throws IOException {
        Case.main(EndlessHead::run, arguments);
    }

    private static int run(Path directory, Record record, boolean trouble) throws Exception {
        Replica.Behaviour sound =
                (request, out) -> {
                    TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
                    byte[] body = ("answer to " + request.id()).getBytes(StandardCharsets.US_ASCII);
                    out.write(Replica.answer(200, request.id(), "", body));
                    return true;
                };
        long[] start = {System.nanoTime()};
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger floods = new AtomicInteger();
        Replica.Behaviour faulty =
                (request, out) -> {
                    answers.incrementAndGet();
                    boolean quiet = millisSince(start[0]) < QUIET_MILLIS;
                    if (!trouble || quiet || floods.get() >= ENDLESS_HEADS) {
                        return sound.answer(request, out);
                    }
                    floods.incrementAndGet();
                    flood(request.id(), out, record);
                    return false;
                };
        try (Store store = new Store();
                Replica first = new Replica("i-1", faulty);
                Replica second = new Replica("i-2", sound);
                Program entry =
                        new Program(
                                directory,
                                "entry",
                                "entry-1",
                                "127.0.0.1",
                                store.address(),
                                Program.freePort("127.0.0.1"))) {
            store.put(
                    "op/config",
                    Case.config(
                            1,
                            List.of(
                                    Case.route(
                                            "lookup", "idempotent", "desk", TIMEOUT_MILLIS, 2)),
                            List.of(Case.service("desk", 360)),
                            15_000));
            store.put("servers/i-1", first.registration("desk", 64, "[]"));
            store.put("servers/i-2", second.registration("desk", 64, "[]"));
            if (!entry.start().awaitReady(30)) {
                return Case.COULD_NOT_RUN;
            }
            start[0] = System.nanoTime();
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger atTimeout = new AtomicInteger();
            AtomicInteger afterSlack = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                clients.add(
                        Threads.start(
                                "client",
                                () -> {
                                    for (int n = 0; millisSince(start[0]) < LENGTH_MILLIS; n++) {
                                        sent.incrementAndGet();
                                        String id = "c" + client + "-" + n;
                                        long waited = waitFor(entry, id, record);
                                        if (waited >= TIMEOUT_MILLIS) {
                                            atTimeout.incrementAndGet();
                                        }
                                        if (waited >= TIMEOUT_MILLIS + SLACK_MILLIS) {
                                            afterSlack.incrementAndGet();
                                        }
                                    }
                                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            record.add(
                    "%d requests, %d at i-1, %d heads without end; unanswered at the route's timeout: %d,"
                            + " half a second later: %d; entry %s",
                    sent.get(),
                    answers.get(),
                    floods.get(),
                    atTimeout.get(),
                    afterSlack.get(),
                    entry.process().isAlive() ? "runs" : "has ended");
            boolean broken =
                    afterSlack.get() * 2 > atTimeout.get() || !entry.process().isAlive();
            return broken ? Case.BROKEN : Case.HELD;
        }
    }

    /** Sends a head without end until the entry closes the channel. */
    private static void flood(String id, OutputStream out, Record record) throws IOException {
        byte[] block = new byte[16 * 1024];
        Arrays.fill(block, (byte) 'a');
        long sent = 0;
        long end = System.nanoTime() + FLOOD_NANOS;
        record.add("replica i-1 begins a head without end for %s", id);
        try {
            out.write("HTTP/1.1 200 OK\r\nX-Trace: ".getBytes(StandardCharsets.US_ASCII));
            while (System.nanoTime() < end) {
                out.write(block);
                sent += block.length;
            }
        } finally {
            record.add("the head for %s ended after %d KB", id, sent / 1_000);
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Sends a request; returns how long its answer took, in milliseconds. */
    private static long waitFor(Program entry, String id, Record record) throws IOException {
        String deadline = "Deadline-Ms: " + DEADLINE_MILLIS + "\r\n";
        try (Client client = new Client(entry.frontend())) {
            long start = System.nanoTime();
            client.send(Client.request("GET", "/lookup/" + id, id, deadline, new byte[0]));
            Client.Answer answer = client.read(TIMEOUT_MILLIS + SLACK_MILLIS);
            long waited = millisSince(start);
            if (waited >= TIMEOUT_MILLIS) {
                record.add("client %s: status %d after %d ms", id, answer.status(), waited);
            }
            return waited;
        }
    }
}
