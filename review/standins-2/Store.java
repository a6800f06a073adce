import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, in memory: items, watches and leases. */
final class Store implements Closeable {
    private record Item(String data, long revision, long created, long lease) {}

    private record Event(long revision, String key, String json) {}

    private final HttpPeer mPeer;
    private final Map<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new TreeMap<>();
    private long mRevision = 100;
    private long mLastLease = 10;

    Store(String ip) throws IOException {
        mPeer = new HttpPeer(ip, this::handle);
        HttpPeer.thread(this::expire);
    }

    String address() {
        return mPeer.address();
    }

    @Override
    public void close() {
        mPeer.close();
    }

    /** Writes as the operator or a replica does. */
    synchronized long put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return put(key, Base64.getEncoder().encodeToString(bytes), 0);
    }

    synchronized long remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            String json =
                    "{\"key\":\"" + key + "\",\"revision\":" + mRevision + ",\"deleted\":true}";
            mEvents.add(new Event(mRevision, key, json));
            notifyAll();
        }
        return mRevision;
    }

    synchronized long keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private synchronized long put(String key, String data, long lease) {
        Item old = mItems.get(key);
        mRevision++;
        Item item = new Item(data, mRevision, old == null ? mRevision : old.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(mRevision, key, json(key, item)));
        notifyAll();
        return mRevision;
    }

    private static String json(String key, Item item) {
        return String.format(
                "{\"key\":\"%s\",\"data\":\"%s\",\"revision\":%d,\"created\":%d,\"lease_id\":%d}",
                key, item.data(), item.revision(), item.created(), item.lease());
    }

    private synchronized void expire() {
        while (true) {
            try {
                wait(100);
            } catch (InterruptedException stopped) {
                return;
            }
            dropExpired();
        }
    }

    private synchronized void dropExpired() {
        long now = System.nanoTime();
        mLeases.values().removeIf(lease -> lease[1] - now <= 0);
        for (String key : List.copyOf(mItems.keySet())) {
            long lease = mItems.get(key).lease();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                remove(key);
            }
        }
    }

    private boolean handle(HttpPeer.Head head, byte[] bytes, HttpPeer.Connection connection)
            throws Exception {
        Map<String, Object> body = Json.object(new String(bytes, StandardCharsets.UTF_8));
        String path = head.path();
        int[] status = {200};
        String answer;
        if (path.equals("/kv-range")) {
            answer = range(head.query("prefix", ""), head.query("after", ""));
        } else if (path.equals("/kv-watch")) {
            answer =
                    watch(
                            head.query("prefix", ""),
                            Long.parseLong(head.query("after", "0")),
                            Long.parseLong(head.query("wait_ms", "0")));
        } else if (path.equals("/kv-txn")) {
            answer = commit(body, status);
        } else {
            answer = lease(path, body, status);
        }
        Thread.sleep(2);
        connection.json(status[0], Map.of("Content-Type", "application/json"), answer);
        return true;
    }

    private synchronized String range(String prefix, String after) {
        List<String> items = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                        items.add(json(key, item));
                    }
                });
        return "{\"items\":["
                + String.join(",", items)
                + "],\"has_more\":false,\"at\":"
                + mRevision
                + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long end = System.currentTimeMillis() + waitMillis;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Event event : mEvents) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(event.json());
                }
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + mRevision + "}";
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String commit(Map<String, Object> body, int[] status) {
        for (Object row : Json.list(body, "precondition")) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = mItems.get(condition.get("key"));
            if ((item == null ? 0 : item.revision()) != Json.number(condition, "revision", 0)) {
                status[0] = 412;
                return "{\"items\":[]}";
            }
        }
        for (Object row : Json.list(body, "write")) {
            long lease = Json.number((Map<String, Object>) row, "lease_id", 0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                status[0] = 404;
                return "{}";
            }
        }
        for (Object row : Json.list(body, "write")) {
            Map<String, Object> write = (Map<String, Object>) row;
            String key = (String) write.get("key");
            put(key, (String) write.get("data"), Json.number(write, "lease_id", 0));
        }
        Json.list(body, "remove").forEach(key -> remove((String) key));
        return "{\"revision\":" + mRevision + "}";
    }

    private synchronized String lease(String path, Map<String, Object> body, int[] status) {
        if (path.equals("/kv-lease")) {
            long id = ++mLastLease;
            long ttl = Json.number(body, "ttl_ms", 15_000);
            mLeases.put(id, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            return "{\"lease_id\":" + id + ",\"ttl_ms\":" + ttl + "}";
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        long[] lease = mLeases.get(id);
        if (lease == null) {
            status[0] = 404;
            return "{}";
        }
        if (path.startsWith("/kv-lease-end/")) {
            mLeases.remove(id);
            dropExpired();
            return "{}";
        }
        lease[1] = System.nanoTime() + lease[0] * 1_000_000;
        return "{\"lease_id\":" + id + ",\"ttl_ms\":" + lease[0] + "}";
    }
}
