package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store, as of PROTOCOL.md, in memory. */
final class Store implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServer mServer;
    private final TreeMap<String, ObjectNode> mItems = new TreeMap<>();
    private final TreeMap<Long, ObjectNode> mEvents = new TreeMap<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease = 1000;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    synchronized long put(String key, String value) {
        byte[] data = value.getBytes(StandardCharsets.UTF_8);
        return put(key, Base64.getEncoder().encodeToString(data), 0);
    }

    synchronized void remove(String key) {
        if (mItems.remove(key) != null) {
            ObjectNode event = MAPPER.createObjectNode();
            event.put("key", key).put("revision", ++mRevision).put("deleted", true);
            mEvents.put(mRevision, event);
            notifyAll();
        }
    }

    private long put(String key, String data, long lease) {
        ObjectNode before = mItems.get(key);
        ObjectNode item = MAPPER.createObjectNode();
        item.put("key", key).put("data", data).put("revision", ++mRevision);
        item.put("created", before == null ? mRevision : before.get("created").asLong());
        item.put("lease_id", lease);
        mItems.put(key, item);
        mEvents.put(mRevision, item);
        notifyAll();
        return mRevision;
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        mLeases.values().removeIf(lease -> lease[1] - now < 0);
        for (ObjectNode item : new ArrayList<>(mItems.values())) {
            long lease = item.get("lease_id").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                remove(item.get("key").asText());
            }
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        JsonNode body = bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        ObjectNode response = MAPPER.createObjectNode();
        int status;
        try {
            status = answer(exchange.getRequestURI().getPath(), query, body, response);
        } catch (InterruptedException interrupted) {
            status = 503;
        }
        byte[] answer = MAPPER.writeValueAsBytes(response);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    private synchronized int answer(
            String path, Map<String, String> query, JsonNode body, ObjectNode response)
            throws InterruptedException {
        expire();
        if (path.equals("/kv-key")) {
            ObjectNode item = mItems.get(query.get("key"));
            if (item == null) {
                return 404;
            }
            response.setAll(item);
            response.put("at", mRevision);
        } else if (path.equals("/kv-range")) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            ArrayNode items = response.putArray("items");
            boolean more = false;
            for (ObjectNode item : mItems.tailMap(prefix, true).values()) {
                String key = item.get("key").asText();
                if (!key.startsWith(prefix)) {
                    break;
                }
                if (key.compareTo(after) > 0) {
                    more = items.size() >= 500;
                    if (more) {
                        break;
                    }
                    items.add(item);
                }
            }
            response.put("has_more", more).put("at", mRevision);
        } else if (path.equals("/kv-watch")) {
            watch(query, response);
        } else if (path.equals("/kv-txn")) {
            return commit(body, response);
        } else if (path.equals("/kv-lease")) {
            long millis = Math.max(1000, body.path("ttl_ms").asLong());
            mLeases.put(++mLastLease, new long[] {millis, end(millis)});
            response.put("lease_id", mLastLease).put("ttl_ms", millis);
        } else if (path.startsWith("/kv-keep/")) {
            long[] lease = mLeases.get(Long.parseLong(path.substring("/kv-keep/".length())));
            if (lease == null) {
                return 404;
            }
            lease[1] = end(lease[0]);
            response.put("ttl_ms", lease[0]);
        } else if (path.startsWith("/kv-lease-end/")) {
            mLeases.remove(Long.parseLong(path.substring("/kv-lease-end/".length())));
            expire();
        } else {
            return 404;
        }
        return 200;
    }

    private static long end(long millis) {
        return System.nanoTime() + millis * 1_000_000;
    }

    private int commit(JsonNode body, ObjectNode response) {
        for (JsonNode row : body.path("precondition")) {
            ObjectNode item = mItems.get(row.get("key").asText());
            if ((item == null ? 0 : item.get("revision").asLong()) != row.get("revision").asLong()) {
                response.putArray("items");
                return 412;
            }
        }
        for (JsonNode row : body.path("write")) {
            long lease = row.path("lease_id").asLong(0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode row : body.path("write")) {
            put(row.get("key").asText(), row.get("data").asText(), row.path("lease_id").asLong(0));
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        response.put("revision", mRevision);
        return 200;
    }

    private void watch(Map<String, String> query, ObjectNode response)
            throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long deadline = end(Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            List<ObjectNode> found = new ArrayList<>();
            for (ObjectNode event : mEvents.tailMap(after, false).values()) {
                if (event.get("key").asText().startsWith(prefix)) {
                    found.add(event);
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                response.putArray("events").addAll(found);
                response.put("at", mRevision);
                return;
            }
            wait(Math.min(left, 200));
            expire();
        }
    }
}
