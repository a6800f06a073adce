package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.log.LogLine;
import ebonygw.membership.MemberMessage;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The state machine of a loader: it alone orders its replica what to load and evict.
 *
 * <p>One order is open at a time. Each names the number of orders accepted before, so that an order
 * that is carried out late cannot follow a newer one, and the instance that is meant, so that it
 * cannot reach a replica that has started again. Events in, effects out; not thread-safe.
 */
public final class LoaderNode {
    /** Prefix of the keys under which loaders claim the right to order. */
    public static final String CLAIM_PREFIX = "/ebonygw/orders/";

    private static final int CALL_OWNER = 8;

    /** Adapters that may be on their way to a replica at once. */
    private static final int MOST_LOADING = 4;

    /** Time limit of an unanswered claim. */
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Wait after a failed claim or order. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time between two reports of open places, for each entry that is told. */
    private static final long PLACES_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** Window over which replicas spread the reloads of a new version of a base model. */
    private static final long MODEL_SPREAD_MILLIS = 2_000;

    private final LoaderOptions mOptions;
    private final GatewayOutbox mOut = new GatewayOutbox();
    private final CallIds mCallIds = new CallIds(CALL_OWNER);
    private final OperatorState mOperator;
    private final AdapterDemands mDemands = new AdapterDemands();
    private final Map<String, Long> mModelReloads = new HashMap<>();
    private final Set<NodeId> mEntries = new TreeSet<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();
    private TargetStatus mStatus;
    private String mInstance;
    private MemberMessage.TargetReport mReported;
    private int mToldPlaces;
    private long mToldPlacesNanos;
    private Set<String> mLastModels = Set.of();
    private long mReportSequence;
    private long mFencingToken;
    private long mClaimCall;
    private long mClaimSinceNanos;
    private long mNextClaimNanos = Long.MIN_VALUE;
    private boolean mReading;
    private long mReadNanos;
    private boolean mOrderOpen;
    private long mNextOrderNanos = Long.MIN_VALUE;
    private boolean mStopping;

    /**
     * Creates a node that knows nothing of its replica.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public LoaderNode(LoaderOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mOperator = new OperatorState(options.reader(), mCallIds, mOut, (settings, nowNanos) -> {});
    }

    /** Returns the state as JSON-able maps, lists, strings and numbers. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("fencingToken", mFencingToken);
        dump.put("revision", mOperator.revision());
        dump.put("status", String.valueOf(mStatus));
        dump.put("entries", mEntries.toString());
        dump.put("counts", Map.copyOf(mCounts));
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the present time
     * @param effects takes the effects in order, during the call
     */
    public void handle(GatewayEvent event, long nowNanos, Consumer<GatewayEffect> effects) {
        mOut.attach(effects);
        if (event instanceof GatewayEvent.PeerSaid said) {
            if (said.message() instanceof GatewayMessage.AdapterNeeds needs) {
                mDemands.told(said.peer(), needs.needs(), nowNanos);
            }
        } else if (event instanceof GatewayEvent.PeerUp up) {
            mEntries.add(up.peer());
            if (mReported != null) {
                mOut.send(up.peer(), mReported);
                mOut.send(up.peer(), new GatewayMessage.OpenPlaces(mToldPlaces));
            }
        } else if (event instanceof GatewayEvent.PeerDown down) {
            mEntries.remove(down.peer());
            mDemands.forget(down.peer(), nowNanos);
        } else if (event instanceof GatewayEvent.KeyValueReplied replied) {
            onKeyValue(replied.callId(), replied.reply(), nowNanos);
        } else if (event instanceof GatewayEvent.StatusRead read) {
            onStatus(read.status(), nowNanos);
        } else if (event instanceof GatewayEvent.OrderDone done) {
            onOrderDone(done.order(), done.outcome(), nowNanos);
        } else if (event instanceof GatewayEvent.StopAsked) {
            mStopping = true;
        } else if (event instanceof GatewayEvent.Tick) {
            onTick(nowNanos);
        }
        orderNext(nowNanos);
        tellPlaces(nowNanos);
        if (mStopping && !mOrderOpen) {
            mOut.effect(new GatewayEffect.Exit());
        }
    }

    private void claim(long nowNanos) {
        if (mClaimCall != 0 && nowNanos - mClaimSinceNanos > CLAIM_TIMEOUT_NANOS) {
            mClaimCall = 0;
        }
        if (mFencingToken != 0 || mClaimCall != 0 || nowNanos < mNextClaimNanos) {
            return;
        }
        mClaimSinceNanos = nowNanos;
        mClaimCall = mCallIds.next();
        KeyValueCall.Write write =
                new KeyValueCall.Write(
                        CLAIM_PREFIX + mOptions.address(),
                        ByteString.copyFromUtf8(mOptions.name()),
                        0);
        mOut.keyValue(mClaimCall, new KeyValueCall.Transaction(List.of(), List.of(write)));
    }

    private Optional<EngineLimits> engine() {
        return mOperator.service(mOptions.service()).flatMap(GatewayService::engine);
    }

    private static String modelOf(String adapter) {
        int slash = adapter.indexOf('/');
        return slash < 0 ? adapter : adapter.substring(0, slash);
    }

    /**
     * Returns what an empty replica loads: what it held before, else one that its address picks.
     */
    private Optional<String> modelOfEmpty(EngineLimits engine) {
        List<String> models = engine.models().keySet().stream().sorted().toList();
        Optional<String> held = models.stream().filter(mLastModels::contains).findFirst();
        if (held.isPresent() || models.isEmpty()) {
            return held;
        }
        return Optional.of(models.get(Math.floorMod(mOptions.address().hashCode(), models.size())));
    }

    private void onKeyValue(long callId, KeyValueReply reply, long nowNanos) {
        if (callId == mClaimCall && callId != 0) {
            mClaimCall = 0;
            if (reply instanceof KeyValueReply.Committed committed && committed.succeeded()) {
                mFencingToken = committed.revision();
                mOut.log(LogLine.of("orders_claimed").with("fencing_token", mFencingToken));
            } else {
                mNextClaimNanos = nowNanos + RETRY_NANOS;
            }
            return;
        }
        mOperator.onReply(callId, reply, nowNanos);
    }

    private void onOrderDone(TargetOrder order, TargetOrder.Outcome outcome, long nowNanos) {
        mOrderOpen = false;
        mCounts.merge("order_" + outcome, 1L, Long::sum);
        mOut.log(
                LogLine.of("order_done")
                        .with("operation", order.operation())
                        .with("model", order.model())
                        .with("adapter", order.adapter())
                        .with("version", order.version())
                        .with("expected_orders", order.expectedOrders())
                        .with("fencing_token", order.fencingToken())
                        .with("outcome", outcome));
        if (outcome == TargetOrder.Outcome.FENCED) {
            mFencingToken = 0;
            mNextClaimNanos = nowNanos + 2 * mOptions.leaseNanos();
        } else if (outcome != TargetOrder.Outcome.ACCEPTED
                && outcome != TargetOrder.Outcome.CONFLICT) {
            mNextOrderNanos = nowNanos + RETRY_NANOS;
        }
        mStatus = null;
        read(nowNanos);
    }

    private void onStatus(Optional<TargetStatus> status, long nowNanos) {
        mReading = false;
        if (status.isEmpty()) {
            if (mInstance != null) {
                mInstance = null;
                mOut.log(LogLine.of("replica_lost").with("address", mOptions.address()));
            }
            mStatus = null;
            return;
        }
        mStatus = status.get();
        String instance = mStatus.instance() + '/' + mStatus.startedAtMillis();
        if (!instance.equals(mInstance)) {
            mInstance = instance;
            mOut.log(
                    LogLine.of("replica_seen")
                            .with("instance", mStatus.instance())
                            .with("started_at_ms", mStatus.startedAtMillis())
                            .with("orders", mStatus.orders())
                            .with("models", mStatus.models())
                            .with("adapters", mStatus.adapters()));
        }
        mDemands.resident(mStatus.adapters(), nowNanos);
        report();
    }

    private void onTick(long nowNanos) {
        mOperator.onTick(nowNanos);
        claim(nowNanos);
        boolean busy = mStatus == null || mStatus.busy() || !mStatus.loading().isEmpty();
        long interval = busy ? mOptions.busyReadNanos() : mOptions.idleReadNanos();
        if (nowNanos - mReadNanos >= interval) {
            read(nowNanos);
        }
    }

    private void order(
            TargetOrder.Operation operation, String model, String adapter, long nowNanos) {
        mOrderOpen = true;
        mOut.effect(
                new GatewayEffect.Order(
                        new TargetOrder(
                                operation,
                                model,
                                adapter,
                                0,
                                mFencingToken,
                                mStatus.orders(),
                                mStatus.instance())));
    }

    private void orderNext(long nowNanos) {
        Optional<EngineLimits> engine = engine();
        if (mOrderOpen
                || mStopping
                || mStatus == null
                || mStatus.instance().isEmpty()
                || mFencingToken == 0
                || engine.isEmpty()
                || nowNanos < mNextOrderNanos) {
            return;
        }
        if (!orderModel(engine.get(), nowNanos) && mStatus.loading().size() < MOST_LOADING) {
            orderAdapter(engine.get(), nowNanos);
        }
    }

    /** Orders a base model that is missing or old; returns whether it did. */
    private boolean orderModel(EngineLimits engine, long nowNanos) {
        if (mStatus.busy()) {
            return true;
        }
        if (mStatus.models().isEmpty()) {
            Optional<String> model = modelOfEmpty(engine);
            model.ifPresent(it -> order(TargetOrder.Operation.LOAD, it, "", nowNanos));
            return model.isPresent();
        }
        mLastModels = mStatus.models().keySet();
        for (Map.Entry<String, Long> model : mStatus.models().entrySet()) {
            if (mOperator.wantedVersion(model.getKey()) <= model.getValue()) {
                mModelReloads.remove(model.getKey());
                continue;
            }
            long spread = Math.floorMod(mOptions.address().hashCode(), MODEL_SPREAD_MILLIS);
            long due =
                    mModelReloads.computeIfAbsent(
                            model.getKey(), m -> nowNanos + TimeUnit.MILLISECONDS.toNanos(spread));
            if (nowNanos >= due) {
                order(TargetOrder.Operation.LOAD, model.getKey(), "", nowNanos);
                return true;
            }
        }
        return false;
    }

    private void orderAdapter(EngineLimits engine, long nowNanos) {
        Map<String, Long> resident = mStatus.adapters();
        List<String> loading = mStatus.loading();
        for (Map.Entry<String, Long> adapter : resident.entrySet()) {
            long wanted = mOperator.wantedVersion(adapter.getKey());
            if (wanted > adapter.getValue() && !loading.contains(adapter.getKey())) {
                order(
                        TargetOrder.Operation.LOAD,
                        modelOf(adapter.getKey()),
                        adapter.getKey(),
                        nowNanos);
                return;
            }
        }
        for (String adapter : mDemands.missing(resident, loading)) {
            String model = modelOf(adapter);
            if (!mStatus.models().containsKey(model)) {
                continue;
            }
            int capacity = engine.adapterPlaces(model);
            if (resident.size() + loading.size() < capacity || resident.containsKey(adapter)) {
                order(TargetOrder.Operation.LOAD, model, adapter, nowNanos);
                return;
            }
            Optional<String> victim = mDemands.victim(resident, nowNanos);
            if (victim.isPresent()) {
                order(TargetOrder.Operation.UNLOAD, modelOf(victim.get()), victim.get(), nowNanos);
                return;
            }
        }
    }

    private void read(long nowNanos) {
        if (!mReading) {
            mReading = true;
            mReadNanos = nowNanos;
            String healthPath =
                    mOperator
                            .service(mOptions.service())
                            .map(GatewayService::healthPath)
                            .orElse("");
            mOut.effect(new GatewayEffect.ReadReport(healthPath));
        }
    }

    /** Tells all entries what the replica holds and how busy it is, if that has changed. */
    private void report() {
        List<AdapterVersion> resident = new ArrayList<>();
        new TreeMap<>(mStatus.adapters())
                .forEach((name, version) -> resident.add(VersionNumbers.named(name, version)));
        List<AdapterVersion> loading = new ArrayList<>();
        mStatus.loading().forEach(name -> loading.add(VersionNumbers.named(name, 0)));
        int slots = engine().map(EngineLimits::slots).orElse(0);
        MemberMessage.TargetReport report =
                new MemberMessage.TargetReport(
                        mReportSequence,
                        mStatus.running(),
                        mStatus.unstarted(),
                        slots,
                        0,
                        resident,
                        loading);
        if (report.equals(mReported)) {
            return;
        }
        boolean moved =
                mReported == null
                        || !resident.equals(mReported.resident())
                        || !loading.equals(mReported.loading())
                        || slots != mReported.concurrency();
        mReportSequence++;
        MemberMessage.TargetLoad load =
                new MemberMessage.TargetLoad(
                        mReportSequence, report.running(), report.queued(), slots, 0);
        mReported = report.with(load);
        mEntries.forEach(entry -> mOut.send(entry, moved ? mReported : load));
    }

    /** Tells all entries how many more adapters there are places for, if that has changed. */
    private void tellPlaces(long nowNanos) {
        long interval = Math.max(1, mEntries.size()) * PLACES_INTERVAL_NANOS;
        Optional<EngineLimits> engine = engine();
        if (mStatus == null
                || engine.isEmpty()
                || mStatus.models().isEmpty()
                || nowNanos - mToldPlacesNanos < interval) {
            return;
        }
        int capacity = 0;
        for (String model : mStatus.models().keySet()) {
            capacity = Math.max(capacity, engine.get().adapterPlaces(model));
        }
        int open = mDemands.openPlaces(mStatus.adapters(), mStatus.loading(), capacity, nowNanos);
        if (open != mToldPlaces) {
            mToldPlaces = open;
            mToldPlacesNanos = nowNanos;
            mEntries.forEach(entry -> mOut.send(entry, new GatewayMessage.OpenPlaces(open)));
        }
    }
}
