package ebonygw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A stand-in for the platform's store that implements its HTTP API in memory. */
final class StoreStandIn implements AutoCloseable {
    private static final long LEASE_CHECK_MILLIS = 200;

    /** Identifiers of leases are numbers of any size. */
    private static final long FIRST_LEASE_ID = 1L << 46;

    private final Map<String, ObjectNode> mItems = new TreeMap<>();
    private final Map<Long, ObjectNode> mEvents = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new TreeMap<>();
    private final LoopbackServer mServer;
    private long mRevision = 1;
    private long mCompactedRevision;
    private long mLastLeaseId = FIRST_LEASE_ID;
    private int mPageSize = 500;
    private volatile int mFailureStatus;

    /** Era in all responses, negative if they name none. */
    private long mEra = -1;

    private final Map<String, ObjectNode> mCopy = new TreeMap<>();
    private long mCopyRevision;

    StoreStandIn() {
        mServer = new LoopbackServer(32, this::handle);
    }

    InetSocketAddress address() {
        return mServer.address();
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Drops the history of events; a watch from an earlier revision gets status 410. */
    synchronized void compact() {
        mCompactedRevision = mRevision;
    }

    /** Names the first era from now on. */
    synchronized void startEras() {
        mEra = 1;
    }

    /** Keeps a copy of all items that have no lease. */
    synchronized void copy() {
        mCopy.clear();
        mItems.forEach(
                (key, item) -> {
                    if (item.get("lease_id").asLong() == 0) {
                        mCopy.put(key, item);
                    }
                });
        mCopyRevision = mRevision;
    }

    /**
     * Starts the next era from the copy: what was written since is lost, and revisions and leases
     * are given out again.
     *
     * @param writes what is written before any other call is served
     */
    synchronized void restore(Runnable writes) {
        mEra++;
        mItems.clear();
        mItems.putAll(mCopy);
        mEvents.clear();
        mLeases.clear();
        mRevision = mCopyRevision;
        mCompactedRevision = mCopyRevision;
        mLastLeaseId = FIRST_LEASE_ID;
        writes.run();
        notifyAll();
    }

    synchronized boolean hasCopy() {
        return mCopyRevision > 0;
    }

    /** Returns the keys that start with a prefix. */
    synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Grants a lease to another process. */
    synchronized void grantForeignLease() {
        mLeases.put(++mLastLeaseId, new Lease(TimeUnit.MINUTES.toMillis(1)));
    }

    /** Ends all leases and removes their keys. */
    synchronized void lapseLeases() {
        mLeases.clear();
        expireLeases();
    }

    /** Responds to all requests with a status, or normally if it is 0. */
    void failWith(int status) {
        mFailureStatus = status;
    }

    synchronized void setPageSize(int items) {
        mPageSize = items;
    }

    synchronized long put(String key, String value) {
        return put(key, value, 0);
    }

    private long put(String key, String value, long lease) {
        ObjectNode item = Json.MAPPER.createObjectNode();
        byte[] data = value.getBytes(StandardCharsets.UTF_8);
        item.put("key", key).put("data", Base64.getEncoder().encodeToString(data));
        item.put("revision", ++mRevision).put("created", mRevision).put("lease_id", lease);
        mItems.put(key, item);
        mEvents.put(mRevision, item);
        notifyAll();
        return mRevision;
    }

    synchronized void remove(String key) {
        mItems.remove(key);
        ObjectNode event = Json.MAPPER.createObjectNode();
        event.put("key", key).put("revision", ++mRevision).put("deleted", true);
        mEvents.put(mRevision, event);
        notifyAll();
    }

    synchronized String value(String key) {
        ObjectNode item = mItems.get(key);
        return item == null
                ? null
                : new String(
                        Base64.getDecoder().decode(item.get("data").asText()),
                        StandardCharsets.UTF_8);
    }

    /** Returns the number of keys that start with a prefix. */
    synchronized long count(String prefix) {
        return keys(prefix).size();
    }

    private static String query(HttpServerExchange exchange, String name, String defaultValue) {
        return exchange.getQueryParameters().containsKey(name)
                ? exchange.getQueryParameters().get(name).peek()
                : defaultValue;
    }

    private synchronized ObjectNode commit(HttpServerExchange exchange, JsonNode body) {
        ObjectNode response = Json.MAPPER.createObjectNode();
        for (JsonNode condition : body.path("precondition")) {
            ObjectNode item = mItems.get(condition.get("key").asText());
            long revision = item == null ? 0 : item.get("revision").asLong();
            if (revision != condition.get("revision").asLong()) {
                exchange.setStatusCode(412);
                return response;
            }
        }
        for (JsonNode write : body.path("write")) {
            byte[] data = Base64.getDecoder().decode(write.get("data").asText());
            put(
                    write.get("key").asText(),
                    new String(data, StandardCharsets.UTF_8),
                    write.path("lease_id").asLong(0));
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        return response.put("revision", mRevision);
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        if (mFailureStatus != 0) {
            exchange.setStatusCode(mFailureStatus);
            return;
        }
        if (era() >= 0) {
            exchange.getResponseHeaders().put(new HttpString("Store-Era"), era());
        }
        byte[] bytes = exchange.getInputStream().readAllBytes();
        JsonNode body = bytes.length == 0 ? null : Json.MAPPER.readTree(bytes);
        String path = exchange.getRequestPath();
        ObjectNode response;
        if (path.equals("/kv-range")) {
            response = range(query(exchange, "prefix", ""), query(exchange, "after", ""));
        } else if (path.equals("/kv-watch")) {
            response = watch(exchange);
        } else if (path.equals("/kv-txn")) {
            response = commit(exchange, body);
        } else {
            response = lease(exchange, path, body);
        }
        exchange.getResponseSender().send(response.toString());
    }

    private synchronized long era() {
        return mEra;
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        mLeases.values().removeIf(lease -> lease.mEndNanos - now <= 0);
        for (ObjectNode item : List.copyOf(mItems.values())) {
            long lease = item.get("lease_id").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                remove(item.get("key").asText());
            }
        }
    }

    private synchronized ObjectNode lease(HttpServerExchange exchange, String path, JsonNode body) {
        ObjectNode response = Json.MAPPER.createObjectNode();
        if (path.equals("/kv-lease")) {
            long id = ++mLastLeaseId;
            mLeases.put(id, new Lease(body.path("ttl_ms").asLong(15_000)));
            return response.put("lease_id", id).put("ttl_ms", mLeases.get(id).mTtlMillis);
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = mLeases.get(id);
        if (lease == null) {
            exchange.setStatusCode(404);
        } else if (path.startsWith("/kv-lease-end/")) {
            mLeases.remove(id);
            expireLeases();
        } else {
            lease.renew();
        }
        return response;
    }

    private synchronized ObjectNode range(String prefix, String after) {
        ObjectNode response = Json.MAPPER.createObjectNode();
        ArrayNode items = response.putArray("items");
        boolean more = false;
        for (Map.Entry<String, ObjectNode> item : mItems.entrySet()) {
            if (item.getKey().startsWith(prefix) && item.getKey().compareTo(after) > 0) {
                more = items.size() == mPageSize;
                if (more) {
                    break;
                }
                items.add(item.getValue());
            }
        }
        return response.put("has_more", more).put("at", mRevision);
    }

    private synchronized ObjectNode watch(HttpServerExchange exchange) throws InterruptedException {
        String prefix = query(exchange, "prefix", "");
        long after = Long.parseLong(query(exchange, "after", "0"));
        long endMillis =
                System.currentTimeMillis() + Long.parseLong(query(exchange, "wait_ms", "0"));
        while (true) {
            if (after < mCompactedRevision || after > mRevision) {
                exchange.setStatusCode(410);
                return Json.MAPPER.createObjectNode();
            }
            ObjectNode response = Json.MAPPER.createObjectNode();
            ArrayNode events = response.putArray("events");
            mEvents.forEach(
                    (revision, event) -> {
                        if (revision > after && event.get("key").asText().startsWith(prefix)) {
                            events.add(event);
                        }
                    });
            long remainingMillis = endMillis - System.currentTimeMillis();
            if (!events.isEmpty() || remainingMillis <= 0) {
                return response.put("at", mRevision);
            }
            wait(Math.min(remainingMillis, LEASE_CHECK_MILLIS));
            expireLeases();
        }
    }

    /** A lease; its keys are removed when it expires. */
    private static final class Lease {
        private final long mTtlMillis;
        private long mEndNanos;

        Lease(long ttlMillis) {
            mTtlMillis = ttlMillis;
            renew();
        }

        void renew() {
            mEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mTtlMillis);
        }
    }
}
