package ebonygw.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.http.ConnectionWatch;
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
 * A model engine with an OpenAI-compatible interface: adapter slots, loads through the weight
 * store, continuous batching, priorities, load reports with a lag, fencing, restarts and faults.
 *
 * <p>All its state belongs to its IO thread; counters may be read and faults ordered from any
 * thread.
 */
public final class EngineStandIn {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineStandInOptions mOptions;
    private final WeightStoreStandIn mStore;
    private final StandInServer mServer;
    private final Map<String, Integer> mRunsById = new ConcurrentHashMap<>();
    private final AtomicInteger mFailingLoads = new AtomicInteger();
    private final AtomicInteger mCutAnswers = new AtomicInteger();
    private final AtomicInteger mLostAnswers = new AtomicInteger();
    private final AtomicInteger mEvictionsInUse = new AtomicInteger();
    private final AtomicInteger mCancelled = new AtomicInteger();
    private final AtomicInteger mRefusedOrders = new AtomicInteger();
    private final AtomicLong mTokens = new AtomicLong();
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
    private volatile boolean mStarting;
    private String mReport = "";
    private long mReportAtNanos;

    /**
     * Creates an engine; it listens after {@link #start}.
     *
     * @param options its options
     * @param store the store that its loads come from
     * @throws NullPointerException if an argument is null
     */
    public EngineStandIn(EngineStandInOptions options, WeightStoreStandIn store) {
        mOptions = Objects.requireNonNull(options, "options");
        mStore = Objects.requireNonNull(store, "store");
        mServer = new StandInServer(options.address(), options.port(), this::handle);
    }

    /** Returns the address that the engine listens on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns how many runs ended because their caller left. */
    public int cancelled() {
        return mCancelled.get();
    }

    /** Cuts the connection of the next answers after their first bytes. */
    public void cutNextAnswers(int count) {
        mCutAnswers.set(count);
    }

    /** Returns how many times an adapter was unloaded while a request ran on it. */
    public int evictionsInUse() {
        return mEvictionsInUse.get();
    }

    /** Lets the next loads fail. */
    public void failNextLoads(int count) {
        mFailingLoads.set(count);
    }

    /** Runs the next requests but loses the connection before their answers. */
    public void loseNextAnswers(int count) {
        mLostAnswers.set(count);
    }

    /** Returns how many orders were refused for an old fencing token. */
    public int refusedOrders() {
        return mRefusedOrders.get();
    }

    /** Returns the names of the adapter versions loaded now. */
    public Set<String> resident() {
        return Set.copyOf(mResident);
    }

    /** Restarts the engine: all runs break, all adapters are gone. */
    public void restart() {
        mStarting = true;
        mServer.execute(this::forgetAll);
        mServer.after(
                mOptions.restartNanos(),
                () -> {
                    mStartedAtNanos = now();
                    mStarting = false;
                });
    }

    /** Returns how many times requests were run, by the value of x-request-id. */
    public Map<String, Integer> runsById() {
        return Map.copyOf(mRunsById);
    }

    /** Returns the requests seen, in order, if the engine records them. */
    public List<SeenRequest> seen() {
        return mServer.seen();
    }

    /** Starts to listen. */
    public void start() {
        mStartedAtNanos = now();
        mServer.start();
    }

    /** Stops at once. */
    public void stop() {
        mServer.stop();
    }

    /** Returns how many tokens were generated. */
    public long tokens() {
        return mTokens.get();
    }

    private static long now() {
        return System.currentTimeMillis() * NANOS_PER_MILLI;
    }

    private static boolean take(AtomicInteger count) {
        return count.get() > 0 && count.getAndDecrement() > 0;
    }

    private void answer(HttpServerExchange exchange, byte[] body) {
        if (mOptions.recording()) {
            mServer.record(exchange, body);
        }
        try {
            switch (exchange.getRequestPath()) {
                case "/v1/completions", "/v1/chat/completions" -> complete(exchange, body);
                case "/v1/load_lora_adapter" -> load(exchange, MAPPER.readTree(body));
                case "/v1/unload_lora_adapter" -> unload(exchange, MAPPER.readTree(body));
                case "/load" -> StandInServer.sendJson(exchange, 200, report());
                default -> StandInServer.sendJson(exchange, 404, "{\"error\":\"no such path\"}");
            }
        } catch (IOException cause) {
            Logger.debug("event=engine_bad_request cause=\"{}\"", cause);
            StandInServer.sendJson(exchange, 400, "{\"error\":\"bad request\"}");
        }
    }

    private void complete(HttpServerExchange exchange, byte[] body) throws IOException {
        String id =
                Objects.requireNonNullElse(
                        exchange.getRequestHeaders().getFirst("x-request-id"), "");
        EngineRequest request = EngineRequest.read(id, body, mOptions.answerTokens());
        if (!mResident.contains(request.adapter())) {
            StandInServer.sendJson(exchange, 404, "{\"error\":\"adapter not loaded\"}");
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    EngineRun[] holder = new EngineRun[1];
                    EngineRun run = new EngineRun(exchange, request, () -> ended(holder[0]));
                    holder[0] = run;
                    ConnectionWatch.of(exchange.getConnection()).start(() -> left(run));
                    mWaiting.add(new Waiting(run, mSequence++));
                    schedule();
                });
    }

    private void ended(EngineRun run) {
        mRunning.remove(run);
        mServer.execute(this::schedule);
    }

    private void forgetAll() {
        mResident.clear();
        mLoading.clear();
        List<EngineRun> runs = new ArrayList<>(mRunning);
        mWaiting.forEach(waiting -> runs.add(waiting.run()));
        mWaiting.clear();
        runs.forEach(EngineRun::cut);
    }

    private void generate(EngineRun run) {
        long interval = NANOS_PER_SECOND / mOptions.tokensPerSecond();
        long step = Math.max(interval, NANOS_PER_MILLI);
        for (long tokens = step / interval; tokens > 0 && !run.blocked(); tokens--) {
            if (run.ended()) {
                return;
            }
            mTokens.incrementAndGet();
            run.generate();
        }
        if (!run.ended()) {
            mServer.after(step, () -> generate(run));
        }
    }

    private void handle(HttpServerExchange exchange) {
        if (mStarting) {
            StandInServer.sendJson(exchange, 503, "{\"error\":\"starting\"}");
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(this::answer);
    }

    private void left(EngineRun run) {
        if (!run.ended()) {
            mCancelled.incrementAndGet();
            mWaiting.removeIf(waiting -> waiting.run() == run);
            run.cut();
        }
    }

    private void load(HttpServerExchange exchange, JsonNode order) {
        String name = order.path("lora_name").asText();
        if (!permitted(exchange, order)) {
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
        long duration = mStore.begin(now());
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> mServer.after(duration, () -> loaded(exchange, name, startedAt)));
    }

    private void loaded(HttpServerExchange exchange, String name, long startedAtNanos) {
        mStore.end();
        boolean restarted = mStarting || mStartedAtNanos != startedAtNanos;
        if (!restarted) {
            mLoading.remove(name);
        }
        if (restarted || take(mFailingLoads)) {
            StandInServer.sendJson(exchange, 500, "{\"error\":\"load failed\"}");
            return;
        }
        mResident.add(name);
        StandInServer.sendJson(exchange, 200, "{\"loaded\":true}");
    }

    private boolean permitted(HttpServerExchange exchange, JsonNode order) {
        long token = order.path("fencing_token").asLong();
        if (mOptions.fencingObeyed() && token < mFencingToken) {
            mRefusedOrders.incrementAndGet();
            StandInServer.sendJson(exchange, 409, "{\"error\":\"old fencing token\"}");
            return false;
        }
        mFencingToken = Math.max(mFencingToken, token);
        return true;
    }

    private String report() {
        long now = now();
        if (mReport.isEmpty() || now - mReportAtNanos >= mOptions.reportLagNanos()) {
            String next = reportNow();
            boolean first = mReport.isEmpty();
            String shown = first || mOptions.reportLagNanos() == 0 ? next : mReport;
            mReport = next;
            mReportAtNanos = now;
            return shown;
        }
        return mReport;
    }

    private String reportNow() {
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

    private void run(EngineRun run) {
        mRunsById.merge(run.request().id(), 1, Integer::sum);
        if (take(mLostAnswers)) {
            run.cut();
            return;
        }
        if (take(mCutAnswers)) {
            run.generateAndCut();
            return;
        }
        if (mOptions.tokensPerSecond() > 0) {
            generate(run);
            return;
        }
        for (int token = 0; token < run.request().tokens() && !run.ended(); token++) {
            mTokens.incrementAndGet();
            run.generate();
        }
    }

    private void schedule() {
        while (mRunning.size() < mOptions.maxBatch() && !mWaiting.isEmpty()) {
            EngineRun run = mWaiting.poll().run();
            mRunning.add(run);
            run(run);
        }
    }

    private void unload(HttpServerExchange exchange, JsonNode order) {
        if (!permitted(exchange, order)) {
            return;
        }
        String name = order.path("lora_name").asText();
        List<EngineRun> users = new ArrayList<>();
        users.addAll(mRunning);
        mWaiting.forEach(waiting -> users.add(waiting.run()));
        users.removeIf(run -> !run.request().adapter().equals(name));
        mEvictionsInUse.addAndGet(users.size());
        boolean removed = mResident.remove(name);
        mWaiting.removeIf(waiting -> users.contains(waiting.run()));
        users.forEach(EngineRun::cut);
        StandInServer.sendJson(exchange, removed ? 200 : 404, "{\"unloaded\":" + removed + "}");
    }

    /** A request that waits for its turn in the batch. */
    private record Waiting(EngineRun run, long sequence) {}
}
