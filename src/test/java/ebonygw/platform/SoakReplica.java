package ebonygw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of a replica, with adapters and orders if it has a model.
 *
 * <p>Thread-safe.
 */
final class SoakReplica implements AutoCloseable {
    static final String MODEL = "m0";
    static final int EVENTS = 12;

    private static final int ADAPTER_PLACES = 3;
    private static final long LOAD_MILLIS = 80;
    private static final long EVENT_MILLIS = 25;
    private static final long WORK_MILLIS = 15;

    private final SoakLedger mLedger;
    private final String mName;
    private final boolean mEngine;
    private final LoopbackServer mServer;
    private final Map<String, Long> mAdapters = new TreeMap<>();
    private final Map<String, Long> mLoadedAtMillis = new TreeMap<>();
    private final Map<String, Long> mWanted = new TreeMap<>();
    private int mStarts = 1;
    private long mStartedAtMillis = System.currentTimeMillis();
    private long mOrders;
    private long mFence;

    SoakReplica(String name, boolean engine, SoakLedger ledger) {
        mName = name;
        mEngine = engine;
        mLedger = ledger;
        mServer = new LoopbackServer(64, this::handle);
    }

    InetSocketAddress address() {
        return mServer.address();
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Starts it again: another instance that holds nothing. */
    synchronized void restart() {
        mStarts++;
        mStartedAtMillis = System.currentTimeMillis();
        mAdapters.clear();
        mLoadedAtMillis.clear();
        mOrders = 0;
        mFence = 0;
    }

    synchronized String instance() {
        return mName + '-' + mStarts;
    }

    /** Returns its entry in the list of replicas. */
    synchronized String registration(String service, InetSocketAddress address, String zone) {
        ObjectNode entry = Json.MAPPER.createObjectNode();
        entry.put("backend", service).put("zone", zone).put("slots", 16).put("state", "ready");
        entry.put("address", address.getAddress().getHostAddress() + ':' + address.getPort());
        entry.put("born", mStartedAtMillis);
        models(entry);
        return entry.toString();
    }

    /** Announces a newer version of an adapter. */
    synchronized void want(String adapter, long version) {
        mWanted.put(adapter, version);
    }

    private static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private synchronized boolean holds(String model) {
        int slash = model.indexOf('/');
        if (slash < 0) {
            return true;
        }
        String adapter = model.substring(slash + 1);
        Long loaded = mLoadedAtMillis.get(adapter);
        return loaded != null && System.currentTimeMillis() - loaded >= LOAD_MILLIS;
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        String path = exchange.getRequestPath();
        if (path.equals("/report")) {
            exchange.getResponseSender().send(report());
        } else if (path.equals("/healthz")) {
            exchange.getResponseHeaders().put(new HttpString("Instance-Id"), instance());
        } else if (path.equals("/order")) {
            exchange.setStatusCode(order(exchange, Json.MAPPER.readTree(body)));
        } else {
            serve(exchange, path);
        }
    }

    private synchronized void models(ObjectNode to) {
        ArrayNode models = to.putArray("models");
        if (mEngine) {
            ArrayNode adapters =
                    models.addObject().put("name", MODEL).put("version", 1).putArray("adapters");
            mAdapters.forEach(
                    (adapter, version) -> {
                        if (holds(MODEL + '/' + adapter)) {
                            adapters.add(adapter + '@' + version);
                        }
                    });
        }
    }

    private synchronized int order(HttpServerExchange exchange, JsonNode order) {
        if (!header(exchange, "Expect-Instance").equals(instance())) {
            return 421;
        }
        if (order.path("fencing_token").asLong() < mFence) {
            return 412;
        }
        mFence = order.path("fencing_token").asLong();
        if (order.path("precondition").asLong(mOrders) != mOrders) {
            return 409;
        }
        mOrders++;
        String adapter = order.path("adapter").asText();
        if (order.path("operation").asText().equals("unloading")) {
            mAdapters.remove(adapter);
            mLoadedAtMillis.remove(adapter);
            return 200;
        }
        mAdapters.put(adapter, mWanted.getOrDefault(adapter, 1L));
        mLoadedAtMillis.put(adapter, System.currentTimeMillis());
        if (mAdapters.size() > ADAPTER_PLACES) {
            mLedger.broken(mName + " was ordered to hold " + mAdapters.keySet());
        }
        return 202;
    }

    private synchronized String report() {
        ObjectNode report = Json.MAPPER.createObjectNode();
        report.put("born", mStartedAtMillis).put("busy", false).put("sequence", mOrders);
        report.put("queued", 0).put("active", 1);
        models(report);
        ArrayNode pending = report.putArray("pending");
        mAdapters.forEach(
                (adapter, version) -> {
                    if (!holds(MODEL + '/' + adapter)) {
                        pending.add(MODEL + '/' + adapter + '@' + version);
                    }
                });
        return report.toString();
    }

    private void serve(HttpServerExchange exchange, String path)
            throws IOException, InterruptedException {
        String id = header(exchange, "Attempt-Id");
        exchange.getResponseHeaders().put(new HttpString("Attempt-Id"), id);
        if (!header(exchange, "Expect-Instance").equals(instance())
                || !holds(header(exchange, "Model"))) {
            exchange.getResponseHeaders().put(new HttpString("Not-Executed"), "1");
            exchange.setStatusCode(421);
            return;
        }
        if (!header(exchange, "Tenant").equals("t1")
                || !header(exchange, "Authorization").isEmpty()) {
            mLedger.broken("request " + id + " came for " + header(exchange, "Tenant"));
        }
        mLedger.run(id, path.split("/")[1]);
        exchange.getResponseHeaders().put(new HttpString("Server-Signature"), "s-" + id);
        if (!mEngine) {
            Thread.sleep(WORK_MILLIS);
            exchange.getResponseSender().send(SoakLedger.body(id));
            return;
        }
        exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
        OutputStream output = exchange.getOutputStream();
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: " + id + ' ' + event + "\n\n";
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
        output.close();
    }
}
