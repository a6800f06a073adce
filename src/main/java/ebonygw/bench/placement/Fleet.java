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

/**
 * The simulated engines, plain services, weight store and network of one run. Reports what happens
 * at them to the meter and the invariant checker.
 *
 * <p>Targets are numbered: first the model replicas, then the replicas of the plain service.
 */
final class Fleet {
    /** Time limit of a model request. */
    static final long TIMEOUT_NANOS = 30_000_000_000L;

    private static final long UNLOAD_NANOS = 1_000_000L;

    /** One-way network latency inside a region. */
    private static final long LOCAL_LATENCY_NANOS = 500_000L;

    /** One-way network latency between regions. */
    private static final long CROSS_REGION_LATENCY_NANOS = 15_000_000L;

    private static final double LOAD_FAILURE_PROBABILITY = 0.02;
    private static final Payload EMPTY_PAYLOAD =
            new Payload("POST", "/", Map.of(), ByteString.EMPTY);

    final Scenario mScenario;
    final EventLoop mLoop = new EventLoop();
    final FakeWeightStore mStore;
    final RunMeter mMeter;
    final InvariantChecker mChecker = new InvariantChecker();
    final List<FakeEngine> mEngines = new ArrayList<>();
    private final RandomGenerator mFaultRandom;

    Fleet(Scenario scenario, RandomGenerator faultRandom) {
        mScenario = scenario;
        mFaultRandom = faultRandom;
        mStore = new FakeWeightStore(mLoop, scenario.storeLoadsPerSecond());
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

    /**
     * Records the end of a request at its entry.
     *
     * @param succeeded whether the response is complete; a response past its deadline counts as
     *     failed
     */
    void complete(Request request, boolean succeeded) {
        boolean withinDeadline = mLoop.nowNanos() <= request.mArrival.atNanos() + TIMEOUT_NANOS;
        mChecker.onEnded(request);
        mMeter.onEnded(request, succeeded && withinDeadline);
    }

    /** Returns whether a target is a replica of the plain service. */
    boolean isService(int target) {
        return target >= mScenario.replicas();
    }

    /**
     * Loads a version, for which the caller has taken a token of the store.
     *
     * @param done receives whether the version was loaded
     */
    void load(int target, AdapterVersion adapter, Consumer<Boolean> done) {
        mStore.startLoad(loadCompletion(target, adapter, done));
    }

    /**
     * Loads a version when the store's rate allows it.
     *
     * @param wanted whether the load is still wanted when the rate allows it
     * @param done receives whether the version was loaded
     */
    void loadWhenPermitted(
            int target, AdapterVersion adapter, BooleanSupplier wanted, Consumer<Boolean> done) {
        mStore.enqueueLoad(wanted, loadCompletion(target, adapter, done), () -> done.accept(false));
    }

    /** Returns the one-way latency between the entry of a region and a target. */
    long networkLatencyNanos(int region, int target) {
        return region == regionOf(target) ? LOCAL_LATENCY_NANOS : CROSS_REGION_LATENCY_NANOS;
    }

    int regionOf(int target) {
        int replicas = mScenario.replicas();
        return target < replicas
                ? mScenario.replicaRegions().get(target)
                : mScenario.serviceRegions().get(target - replicas);
    }

    /** Creates the request of an arrival. */
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
                        EMPTY_PAYLOAD);
        return new Request(arrival, work);
    }

    /** Restarts an engine; its running requests fail when they would have ended. */
    void restart(int target) {
        FakeEngine engine = mEngines.get(target);
        mMeter.onRunningChange(target, -engine.running());
        engine.resident().forEach(a -> mMeter.onAdapterResidency(target, a, false));
        engine.restart(mLoop.nowNanos());
    }

    /**
     * Runs an attempt at an engine.
     *
     * @param done receives the number of tokens used, or -1 if the engine has restarted since the
     *     attempt started or has not loaded the adapter
     */
    void run(int target, Request request, Work attempt, Consumer<Integer> done) {
        FakeEngine engine = mEngines.get(target);
        long startedAt = engine.startedAtNanos();
        AdapterVersion adapter = attempt.adapter().orElse(null);
        mChecker.onStart(engine, request, adapter, attempt.attempt(), mLoop.nowNanos());
        if (adapter != null && !engine.isResident(adapter)) {
            mMeter.onLeftQueue(target, request);
            mLoop.scheduleAfter(LOCAL_LATENCY_NANOS, () -> done.accept(-1));
            return;
        }
        long nanos = engine.start(adapter, request.mArrival);
        mMeter.onLeftQueue(target, request);
        mMeter.onRunningChange(target, 1);
        mLoop.scheduleAfter(
                nanos,
                () -> {
                    if (engine.startedAtNanos() != startedAt) {
                        done.accept(-1);
                        return;
                    }
                    engine.end(adapter);
                    mMeter.onRunningChange(target, -1);
                    Arrival arrival = request.mArrival;
                    done.accept(arrival.promptTokens() + arrival.responseTokens());
                });
    }

    /** Counts the traffic of a prompt that is sent to a target of another region. */
    void recordRequestSent(Request request, int target) {
        if (request.mArrival.region() != regionOf(target)) {
            mMeter.onTraffic(request.mArrival.promptTokens());
        }
    }

    /** Counts the traffic of a response that comes from a target of another region. */
    void recordResponseSent(Request request, int target) {
        if (request.mArrival.region() != regionOf(target)) {
            mMeter.onTraffic(request.mArrival.responseTokens());
        }
    }

    /** Records that an attempt has joined a target's queue. */
    void recordQueued(int target, Request request) {
        boolean resident =
                request.mAdapter == null || mEngines.get(target).isResident(request.mAdapter);
        mMeter.onQueued(target, request, resident);
    }

    void unload(int target, AdapterVersion adapter, Runnable done) {
        FakeEngine engine = mEngines.get(target);
        mChecker.onUnload(engine, adapter);
        mMeter.onAdapterResidency(target, adapter, false);
        engine.unload(adapter);
        mLoop.scheduleAfter(UNLOAD_NANOS, done);
    }

    /** Returns the action that ends a load. The load fails if the engine has restarted since. */
    private Runnable loadCompletion(int target, AdapterVersion adapter, Consumer<Boolean> done) {
        FakeEngine engine = mEngines.get(target);
        long startedAt = engine.startedAtNanos();
        return () -> {
            boolean notRestarted = engine.startedAtNanos() == startedAt;
            boolean failed =
                    mScenario.faults() && mFaultRandom.nextDouble() < LOAD_FAILURE_PROBABILITY;
            if (!notRestarted || failed) {
                done.accept(false);
                return;
            }
            mChecker.onLoad(engine, engine.load(adapter));
            mMeter.onAdapterResidency(target, adapter, true);
            done.accept(true);
        };
    }
}
