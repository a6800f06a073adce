package ebonygw.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.http.DisconnectMonitor;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Simulates a model engine with an OpenAI-compatible HTTP interface: adapter slots, loads from the
 * weight store, continuous batching, priorities, delayed load reports, fencing, restarts and
 * injected faults.
 *
 * <p>All state is confined to the server's single IO thread, except that counters may be read and
 * faults injected from any thread.
 */
public final class EngineStandIn {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineStandInOptions mOptions;
    private final WeightStoreStandIn mStore;
    private final StandInServer mServer;
    private final Map<String, Integer> mRunsByRequestId = new ConcurrentHashMap<>();
    private final AtomicInteger mLoadsToFail = new AtomicInteger();
    private final AtomicInteger mResponsesToTruncate = new AtomicInteger();
    private final AtomicInteger mResponsesToDrop = new AtomicInteger();
    private final AtomicInteger mRequestsAbortedByUnload = new AtomicInteger();
    private final AtomicInteger mCancelledRequests = new AtomicInteger();
    private final AtomicInteger mFencedOrders = new AtomicInteger();
    private final AtomicLong mGeneratedTokens = new AtomicLong();
    private final Set<String> mResident = ConcurrentHashMap.newKeySet();
    private final TreeSet<String> mLoading = new TreeSet<>();
    private final List<EngineRun> mRunning = new ArrayList<>();
    private final PriorityQueue<Waiting> mWaiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((Waiting waiting) -> waiting.run().request().priority())
                            .thenComparingLong(Waiting::sequence));
    private long mSequence;
    private long mFencingToken;
    private volatile long mStartedAtNanos;
    private volatile boolean mRestarting;
    private String mLoadReport = "";
    private long mLoadReportTakenAtNanos;

    /**
     * Creates an engine; it listens after {@link #start}.
     *
     * @param store simulates the duration of adapter loads
     * @throws NullPointerException if an argument is null
     */
    public EngineStandIn(EngineStandInOptions options, WeightStoreStandIn store) {
        mOptions = Objects.requireNonNull(options, "options");
        mStore = Objects.requireNonNull(store, "store");
        mServer = new StandInServer(options.address(), options.port(), this::handle);
    }

    /** Returns the address that the engine listens on; valid after {@link #start}. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns how many requests were cancelled because their client disconnected. */
    public int cancelledRequests() {
        return mCancelledRequests.get();
    }

    /**
     * Counts the next {@code count} requests as run, but closes their connections without a
     * response.
     */
    public void dropNextResponses(int count) {
        mResponsesToDrop.set(count);
    }

    /** Lets the next {@code count} adapter loads fail. */
    public void failNextLoads(int count) {
        mLoadsToFail.set(count);
    }

    /** Returns how many load and unload orders were refused for an old fencing token. */
    public int fencedOrders() {
        return mFencedOrders.get();
    }

    /** Returns how many tokens were generated for all requests. */
    public long generatedTokens() {
        return mGeneratedTokens.get();
    }

    /** Returns the received requests in order; empty if the engine does not record them. */
    public List<RecordedRequest> recordedRequests() {
        return mServer.recordedRequests();
    }

    /**
     * Returns how many waiting or running requests were aborted because their adapter was unloaded.
     */
    public int requestsAbortedByUnload() {
        return mRequestsAbortedByUnload.get();
    }

    /** Returns the names of the adapter versions that are loaded. */
    public Set<String> resident() {
        return Set.copyOf(mResident);
    }

    /**
     * Restarts the engine: aborts all requests and unloads all adapters. Until the restart is over,
     * the engine refuses requests with status 503.
     */
    public void restart() {
        mRestarting = true;
        mServer.execute(this::resetState);
        mServer.schedule(
                mOptions.restartNanos(),
                () -> {
                    mStartedAtNanos = now();
                    mRestarting = false;
                });
    }

    /** Returns how many times each request was run, by the value of x-request-id. */
    public Map<String, Integer> runsByRequestId() {
        return Map.copyOf(mRunsByRequestId);
    }

    /** Starts listening. */
    public void start() {
        mStartedAtNanos = now();
        mServer.start();
    }

    /** Stops immediately, without waiting for requests. */
    public void stop() {
        mServer.stop();
    }

    /** Closes the connection of each of the next {@code count} responses after its first bytes. */
    public void truncateNextResponses(int count) {
        mResponsesToTruncate.set(count);
    }

    private static boolean decrementIfPositive(AtomicInteger count) {
        return count.get() > 0 && count.getAndDecrement() > 0;
    }

    private static long now() {
        return System.currentTimeMillis() * NANOS_PER_MILLI;
    }

    /** Returns whether an order may be executed; if not, sends the refusal. */
    private boolean checkFencingToken(HttpServerExchange exchange, JsonNode order) {
        long token = order.path("fencing_token").asLong();
        if (mOptions.fencingEnforced() && token < mFencingToken) {
            mFencedOrders.incrementAndGet();
            StandInServer.sendJson(exchange, 409, "{\"error\":\"old fencing token\"}");
            return false;
        }
        mFencingToken = Math.max(mFencingToken, token);
        return true;
    }

    private String currentLoadReport() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("running", mRunning.size());
        root.put("waiting", mWaiting.size());
        root.put("slots", mOptions.slots());
        root.put("max_batch", mOptions.maxBatch());
        root.put("started_at", mStartedAtNanos);
        var names = root.putArray("resident");
        new TreeSet<>(mResident).forEach(names::add);
        return root.toString();
    }

    /** Generates tokens at the configured rate, in steps of at least one millisecond. */
    private void generate(EngineRun run) {
        long interval = NANOS_PER_SECOND / mOptions.tokensPerSecond();
        long step = Math.max(interval, NANOS_PER_MILLI);
        for (long tokens = step / interval; tokens > 0 && !run.isBlocked(); tokens--) {
            if (run.isEnded()) {
                return;
            }
            mGeneratedTokens.incrementAndGet();
            run.generateToken();
        }
        if (!run.isEnded()) {
            mServer.schedule(step, () -> generate(run));
        }
    }

    private void handle(HttpServerExchange exchange) {
        if (mRestarting) {
            StandInServer.sendJson(exchange, 503, "{\"error\":\"starting\"}");
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(this::route);
    }

    private void handleCompletion(HttpServerExchange exchange, byte[] body) throws IOException {
        String id =
                Objects.requireNonNullElse(
                        exchange.getRequestHeaders().getFirst("x-request-id"), "");
        EngineRequest request = EngineRequest.parse(id, body, mOptions.maxResponseTokens());
        if (!mResident.contains(request.adapter())) {
            StandInServer.sendJson(exchange, 404, "{\"error\":\"adapter not loaded\"}");
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    EngineRun[] holder = new EngineRun[1];
                    EngineRun run = new EngineRun(exchange, request, () -> onRunEnded(holder[0]));
                    holder[0] = run;
                    DisconnectMonitor.of(exchange.getConnection())
                            .start(() -> onClientDisconnected(run));
                    mWaiting.add(new Waiting(run, mSequence++));
                    startWaitingRuns();
                });
    }

    private void handleLoad(HttpServerExchange exchange, JsonNode order) {
        String name = order.path("lora_name").asText();
        if (!checkFencingToken(exchange, order)) {
            return;
        }
        if (mResident.contains(name)) {
            StandInServer.sendJson(exchange, 200, "{\"loaded\":true}");
            return;
        }
        if (mLoading.contains(name) || mResident.size() + mLoading.size() >= mOptions.slots()) {
            StandInServer.sendJson(exchange, 409, "{\"error\":\"no free slot\"}");
            return;
        }
        mLoading.add(name);
        long startedAt = mStartedAtNanos;
        long duration = mStore.beginLoad(now());
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> mServer.schedule(duration, () -> onLoadFinished(exchange, name, startedAt)));
    }

    private void handleUnload(HttpServerExchange exchange, JsonNode order) {
        if (!checkFencingToken(exchange, order)) {
            return;
        }
        String name = order.path("lora_name").asText();
        List<EngineRun> affected = new ArrayList<>();
        affected.addAll(mRunning);
        mWaiting.forEach(waiting -> affected.add(waiting.run()));
        affected.removeIf(run -> !run.request().adapter().equals(name));
        mRequestsAbortedByUnload.addAndGet(affected.size());
        boolean removed = mResident.remove(name);
        mWaiting.removeIf(waiting -> affected.contains(waiting.run()));
        affected.forEach(EngineRun::abort);
        StandInServer.sendJson(exchange, removed ? 200 : 404, "{\"unloaded\":" + removed + "}");
    }

    /**
     * Returns a delayed load report: a new one is built at most once per lag, and the request for
     * which it is built still gets the previous one.
     */
    private String laggedLoadReport() {
        long now = now();
        if (mLoadReport.isEmpty() || now - mLoadReportTakenAtNanos >= mOptions.reportLagNanos()) {
            String current = currentLoadReport();
            boolean first = mLoadReport.isEmpty();
            String returned = first || mOptions.reportLagNanos() == 0 ? current : mLoadReport;
            mLoadReport = current;
            mLoadReportTakenAtNanos = now;
            return returned;
        }
        return mLoadReport;
    }

    private void onClientDisconnected(EngineRun run) {
        if (!run.isEnded()) {
            mCancelledRequests.incrementAndGet();
            mWaiting.removeIf(waiting -> waiting.run() == run);
            run.abort();
        }
    }

    /** Completes a load; it fails if the engine has restarted since the load began. */
    private void onLoadFinished(HttpServerExchange exchange, String name, long startedAtNanos) {
        mStore.endLoad();
        boolean restarted = mRestarting || mStartedAtNanos != startedAtNanos;
        if (!restarted) {
            mLoading.remove(name);
        }
        if (restarted || decrementIfPositive(mLoadsToFail)) {
            StandInServer.sendJson(exchange, 500, "{\"error\":\"load failed\"}");
            return;
        }
        mResident.add(name);
        StandInServer.sendJson(exchange, 200, "{\"loaded\":true}");
    }

    private void onRunEnded(EngineRun run) {
        mRunning.remove(run);
        mServer.execute(this::startWaitingRuns);
    }

    private void resetState() {
        mResident.clear();
        mLoading.clear();
        List<EngineRun> runs = new ArrayList<>(mRunning);
        mWaiting.forEach(waiting -> runs.add(waiting.run()));
        mWaiting.clear();
        runs.forEach(EngineRun::abort);
    }

    private void route(HttpServerExchange exchange, byte[] body) {
        if (mOptions.recording()) {
            mServer.record(exchange, body);
        }
        try {
            switch (exchange.getRequestPath()) {
                case "/v1/completions", "/v1/chat/completions" -> handleCompletion(exchange, body);
                case "/v1/load_lora_adapter" -> handleLoad(exchange, MAPPER.readTree(body));
                case "/v1/unload_lora_adapter" -> handleUnload(exchange, MAPPER.readTree(body));
                case "/load" -> StandInServer.sendJson(exchange, 200, laggedLoadReport());
                default -> StandInServer.sendJson(exchange, 404, "{\"error\":\"no such path\"}");
            }
        } catch (IOException cause) {
            Logger.debug("event=engine_bad_request cause=\"{}\"", cause);
            StandInServer.sendJson(exchange, 400, "{\"error\":\"bad request\"}");
        }
    }

    private void startRun(EngineRun run) {
        mRunsByRequestId.merge(run.request().id(), 1, Integer::sum);
        if (decrementIfPositive(mResponsesToDrop)) {
            run.abort();
            return;
        }
        if (decrementIfPositive(mResponsesToTruncate)) {
            run.generatePartAndAbort();
            return;
        }
        if (mOptions.tokensPerSecond() > 0) {
            generate(run);
            return;
        }
        for (int token = 0; token < run.request().tokens() && !run.isEnded(); token++) {
            mGeneratedTokens.incrementAndGet();
            run.generateToken();
        }
    }

    private void startWaitingRuns() {
        while (mRunning.size() < mOptions.maxBatch() && !mWaiting.isEmpty()) {
            EngineRun run = mWaiting.poll().run();
            mRunning.add(run);
            startRun(run);
        }
    }

    /** A request that waits for capacity in the batch; {@code sequence} is its arrival order. */
    private record Waiting(EngineRun run, long sequence) {}
}
