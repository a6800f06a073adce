import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: the calls of PROTOCOL.md, in memory. */
final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ServerSocket mListener;
    private final Map<String, ObjectNode> mItems = new TreeMap<>();
    private final Map<Long, ObjectNode> mEvents = new TreeMap<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease;

    Store() throws IOException {
        mListener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    /** Writes a key as the operator or a replica; returns the revision, which is the ack. */
    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        if (mItems.remove(key) != null) {
            ObjectNode event = MAPPER.createObjectNode();
            event.put("key", key).put("revision", ++mRevision).put("deleted", true);
            mEvents.put(mRevision, event);
            notifyAll();
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mListener.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                ObjectNode answer = MAPPER.createObjectNode();
                int status =
                        answer(
                                head.word(1),
                                body.length == 0 ? MAPPER.nullNode() : MAPPER.readTree(body),
                                answer);
                byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
                String start =
                        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                .formatted(status, bytes.length);
                out.write(start.getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
            }
        }
    }

    private synchronized int answer(String target, JsonNode body, ObjectNode answer)
            throws InterruptedException {
        expireLeases();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        switch (path) {
            case "/kv-range":
                ArrayNode items = answer.putArray("items");
                mItems.forEach(
                        (key, item) -> {
                            if (key.startsWith(query.getOrDefault("prefix", ""))
                                    && key.compareTo(query.getOrDefault("after", "")) > 0) {
                                items.add(item);
                            }
                        });
                answer.put("has_more", false).put("at", mRevision);
                return 200;
            case "/kv-watch":
                return watch(query, answer);
            case "/kv-txn":
                return commit(body, answer);
            case "/kv-lease":
                long ttl = body.path("ttl_ms").asLong();
                mLeases.put(++mLastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
                answer.put("lease_id", mLastLease).put("ttl_ms", ttl);
                return 200;
            default:
                long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
                long[] lease = mLeases.get(id);
                if (lease == null) {
                    return 404;
                }
                if (path.startsWith("/kv-lease-end/")) {
                    mLeases.remove(id);
                    expireLeases();
                } else {
                    lease[1] = System.nanoTime() + lease[0] * 1_000_000;
                    answer.put("ttl_ms", lease[0]);
                }
                return 200;
        }
    }

    private int commit(JsonNode body, ObjectNode answer) {
        for (JsonNode condition : body.path("precondition")) {
            ObjectNode item = mItems.get(condition.path("key").asText());
            long revision = item == null ? 0 : item.path("revision").asLong();
            if (revision != condition.path("revision").asLong()) {
                answer.putArray("items");
                return 412;
            }
        }
        for (JsonNode write : body.path("write")) {
            put(
                    write.path("key").asText(),
                    Base64.getDecoder().decode(write.path("data").asText()),
                    write.path("lease_id").asLong());
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        answer.put("revision", mRevision);
        return 200;
    }

    private void expireLeases() {
        mLeases.values().removeIf(lease -> lease[1] - System.nanoTime() < 0);
        for (ObjectNode item : List.copyOf(mItems.values())) {
            long lease = item.path("lease_id").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                remove(item.path("key").asText());
            }
        }
    }

    private long put(String key, byte[] data, long lease) {
        ObjectNode item = MAPPER.createObjectNode();
        ObjectNode known = mItems.get(key);
        item.put("key", key).put("data", Base64.getEncoder().encodeToString(data));
        item.put("revision", ++mRevision);
        item.put("created", known == null ? mRevision : known.path("created").asLong());
        item.put("lease_id", lease);
        mItems.put(key, item);
        mEvents.put(mRevision, item);
        notifyAll();
        return mRevision;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            ArrayNode events = answer.putArray("events");
            mEvents.forEach(
                    (revision, event) -> {
                        if (revision > after && event.path("key").asText().startsWith(prefix)) {
                            events.add(event);
                        }
                    });
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                answer.put("at", mRevision);
                return 200;
            }
            wait(Math.min(left, 200));
            expireLeases();
        }
    }
}
