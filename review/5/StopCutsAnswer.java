import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An entry gets SIGTERM while a client is still reading an answer that its replica has made. */
public final class StopCutsAnswer {
    private static final int ANSWER_BYTES = 5_000_000;
    private static final int CLIENT_BYTES_PER_SECOND = 150_000;
    private static final int CLIENT_BUFFER = 32 * 1024;
    private static final int TIMEOUT_MILLIS = 60_000;

    private StopCutsAnswer() {}

    public static void main(String[] arguments) throws IOException {
        Case.main(StopCutsAnswer::run, arguments);
    }

    private static int run(Path directory, Record record, boolean trouble) throws Exception {
        byte[] body = new byte[ANSWER_BYTES];
        Arrays.fill(body, (byte) 'x');
        try (Store store = new Store();
                Replica replica =
                        new Replica(
                                "i-1",
                                (request, out) -> {
                                    record.add("replica runs %s", request.id());
                                    out.write(Replica.answer(200, request.id(), "", body));
                                    record.add("replica has answered %s", request.id());
                                    return true;
                                });
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
                                            "plan", "non_idempotent", "desk", TIMEOUT_MILLIS, 1)),
                            List.of(Case.service("desk", 100)),
                            15_000));
            store.put("servers/i-1", replica.registration("desk", 6, "[]"));
            if (!entry.start().awaitReady(30)) {
                return Case.COULD_NOT_RUN;
            }
            try (Client client = new Client(entry.frontend(), CLIENT_BUFFER)) {
                client.send(
                        Client.request(
                                "POST",
                                "/plan/a",
                                "id-1",
                                "Deadline-Ms: " + TIMEOUT_MILLIS + "\r\n",
                                new byte[] {1}));
                record.add("client sent id-1");
                AtomicLong count = new AtomicLong();
                Threads.start("stop", () -> stop(entry, trouble, count, record));
                return read(client, count, record);
            }
        }
    }

    /** Sends SIGTERM one second after the request, and notes when the entry ends. */
    private static void stop(Program entry, boolean trouble, AtomicLong count, Record record)
            throws InterruptedException {
        TimeUnit.SECONDS.sleep(1);
        if (!trouble) {
            return;
        }
        record.add("SIGTERM to the entry; client has %d bytes", count.get());
        entry.terminate();
        entry.process().waitFor();
        record.add("the entry has ended; client has %d bytes", count.get());
    }

    /** Reads the answer at the client's pace; returns whether the rule held. */
    private static int read(Client client, AtomicLong count, Record record)
            throws IOException, InterruptedException {
        client.socket().setSoTimeout(10_000);
        Http.Head head = Http.readHead(client.in());
        if (head == null || head.status() != 200) {
            record.add("client got %s", head);
            return Case.COULD_NOT_RUN;
        }
        long start = System.nanoTime();
        try {
            for (byte[] chunk = Http.readChunk(client.in());
                    chunk.length > 0;
                    chunk = Http.readChunk(client.in())) {
                long dueNanos =
                        start
                                + TimeUnit.SECONDS.toNanos(count.addAndGet(chunk.length))
                                        / CLIENT_BYTES_PER_SECOND;
                TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNanos - System.nanoTime()));
            }
        } catch (IOException broken) {
            record.add(
                    "client: the channel ended after about %d of %d bytes: %s",
                    count.get(), ANSWER_BYTES, broken.getMessage());
            return Case.BROKEN;
        }
        record.add("client has the whole answer, %d bytes", count.get());
        return count.get() == ANSWER_BYTES ? Case.HELD : Case.BROKEN;
    }
}
