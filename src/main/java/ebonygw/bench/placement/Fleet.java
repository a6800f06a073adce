package ebonygw.bench.placement;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The fake engines, store and links of one run, and what is measured at them. */
final class Fleet {
    /** Time limit of a model request. */
    static final long TIMEOUT_NANOS = 30_000_000_000L;

    private static final long UNLOAD_NANOS = 1_000_000L;
    private static final long LOCAL_NANOS = 500_000L;
    private static final long REGION_NANOS = 15_000_000L;
    private static final double LOAD_FAILURES = 0.02;
    private static final Payload NOTHING = new Payload("POST", "/", Map.of(), ByteString.EMPTY);

    final Scenario mScenario;
    final EventLoop mLoop = new EventLoop();
    final FakeStore mStore;
    final RunMeter mMeter;
    final InvariantChecker mChecker = new InvariantChecker();
    final List<FakeEngine> mEngines = new ArrayList<>();
    private final RandomGenerator mFaults;

    Fleet(Scenario scenario, RandomGenerator faults) {
        mScenario = scenario;
        mFaults = faults;
        mStore = new FakeStore(mLoop, scenario.storeLoadsPerSecond());
        mMeter = new RunMeter(scenario, mLoop, mStore);
        for (int i = 0; i < scenario.replicas(); i++) {
            mEngines.add(new FakeEngine(scenario.slots(), scenario.maxBatch()));
        }
        for (int i = 0; i < scenario.serviceRegions().size(); i++) {
            mEngines.add(new FakeEngine(0, scenario.maxBatch()));
        }
    }

    static NodeId entryId(int region) {
        return new NodeId("entry-" + region);
    }

    static NodeId targetId(int target) {
        return new NodeId("target-" + target);
    }

    /** Ends a request towards its caller. */
    void end(Request request, boolean answered) {
        boolean inTime = mLoop.nowNanos() <= request.mArrival.atNanos() + TIMEOUT_NANOS;
        mChecker.onEnded(request);
        mMeter.onEnded(request, answered && inTime);
    }

    boolean isService(int target) {
        return target >= mScenario.replicas();
    }

    long linkNanos(int region, int target) {
        return region == regionOf(target) ? LOCAL_NANOS : REGION_NANOS;
    }

    /** Loads a version whose charge the store has granted. */
    void load(int target, AdapterVersion adapter, Consumer<Boolean> done) {
        mStore.startCharged(loaded(target, adapter, done));
    }

    /** Loads a version when the store's rate allows it, if it is still wanted then. */
    void loadWhenAllowed(
            int target, AdapterVersion adapter, BooleanSupplier wanted, Consumer<Boolean> done) {
        mStore.startWhenAllowed(wanted, loaded(target, adapter, done), () -> done.accept(false));
    }

    int regionOf(int target) {
        int replicas = mScenario.replicas();
        return target < replicas
                ? mScenario.replicaRegions().get(target)
                : mScenario.serviceRegions().get(target - replicas);
    }

    Request request(Arrival arrival, long sequence) {
        boolean model = arrival.adapter() >= 0;
        Optional<AdapterVersion> adapter =
                model
                        ? Optional.of(new AdapterVersion("adapter-" + arrival.adapter(), "1"))
                        : Optional.empty();
        Work work =
                new Work(
                        new RequestId(entryId(arrival.region()), 1, sequence),
                        1,
                        "customer-" + arrival.customer(),
                        "",
                        model ? "summaries" : "bookings",
                        adapter,
                        model,
                        0,
                        arrival.promptTokens(),
                        arrival.maxTokens(),
                        arrival.prefixHash(),
                        false,
                        NOTHING);
        return new Request(arrival, work);
    }

    void restart(int target) {
        FakeEngine engine = mEngines.get(target);
        mMeter.onRunning(target, -engine.running());
        engine.resident().forEach(a -> mMeter.onAdapter(target, a, false));
        engine.restart(mLoop.nowNanos());
    }

    /**
     * Runs an attempt at an engine.
     *
     * @param done gets the tokens used, or -1 if the engine restarted meanwhile or refused
     */
    void run(int target, Request request, Work attempt, Consumer<Integer> done) {
        FakeEngine engine = mEngines.get(target);
        long startedAt = engine.startedAtNanos();
        AdapterVersion adapter = attempt.adapter().orElse(null);
        mChecker.onStart(engine, request, adapter, attempt.attempt(), mLoop.nowNanos());
        if (adapter != null && !engine.isResident(adapter)) {
            mMeter.onLeftQueue(target, request);
            mLoop.after(LOCAL_NANOS, () -> done.accept(-1));
            return;
        }
        long nanos = engine.start(adapter, request.mArrival);
        mMeter.onLeftQueue(target, request);
        mMeter.onRunning(target, 1);
        mLoop.after(
                nanos,
                () -> {
                    if (engine.startedAtNanos() != startedAt) {
                        done.accept(-1);
                        return;
                    }
                    engine.end(adapter);
                    mMeter.onRunning(target, -1);
                    Arrival arrival = request.mArrival;
                    done.accept(arrival.promptTokens() + arrival.answerTokens());
                });
    }

    /** Counts an attempt's message to a target, and its bytes if it leaves the region. */
    void sendRun(Request request, int target) {
        if (request.mArrival.region() != regionOf(target)) {
            mMeter.onTraffic(request.mArrival.promptTokens());
        }
    }

    /** Counts an answer's bytes if they come from another region. */
    void sendAnswer(Request request, int target) {
        if (request.mArrival.region() != regionOf(target)) {
            mMeter.onTraffic(request.mArrival.answerTokens());
        }
    }

    /** Counts an attempt that joins a target's queue. */
    void queue(int target, Request request) {
        boolean resident =
                request.mAdapter == null || mEngines.get(target).isResident(request.mAdapter);
        mMeter.onQueued(target, request, resident);
    }

    void unload(int target, AdapterVersion adapter, Runnable done) {
        FakeEngine engine = mEngines.get(target);
        mChecker.onUnload(engine, adapter);
        mMeter.onAdapter(target, adapter, false);
        engine.unload(adapter);
        mLoop.after(UNLOAD_NANOS, done);
    }

    private Runnable loaded(int target, AdapterVersion adapter, Consumer<Boolean> done) {
        FakeEngine engine = mEngines.get(target);
        long startedAt = engine.startedAtNanos();
        return () -> {
            boolean sameEngine = engine.startedAtNanos() == startedAt;
            boolean failed = mScenario.faults() && mFaults.nextDouble() < LOAD_FAILURES;
            if (!sameEngine || failed) {
                done.accept(false);
                return;
            }
            mChecker.onLoad(engine, engine.load(adapter));
            mMeter.onAdapter(target, adapter, true);
            done.accept(true);
        };
    }
}
