package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.backlog.FleetBacklog;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
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
 * State machine of a loader, the only process that orders its replica to load and unload models and
 * adapters. It handles {@link GatewayEvent}s and emits {@link GatewayEffect}s.
 *
 * <p>One order is pending at a time. Each order carries a fencing token, which stops a replaced
 * loader; the number of orders accepted before, so that a delayed order cannot be carried out after
 * a newer one; and the expected instance, so that it cannot reach another replica. A replica that
 * starts again under the same id may still carry out an order of before that got no response: room
 * is kept for it, and a new token fences it off. Not thread-safe.
 */
public final class LoaderNode {
    /**
     * Prefix of the keys that loaders write to obtain a fencing token, which is the revision of the
     * write.
     */
    public static final String CLAIM_PREFIX = "/ebonygw/orders/";

    /** Owner number of this node's correlation ids, see {@link KeyValueRequestIds}. */
    private static final int REQUEST_ID_OWNER = 8;

    /** Maximum number of adapters that a replica loads concurrently. */
    private static final int MAX_LOADING = 4;

    /** Time-out of the request for a fencing token. */
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Delay before the next attempt after a failed token request or order. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * Minimum interval between two reports of open adapter slots, for each connected entry. It
     * bounds the messages of a loader at about 67 a second for any number of entries.
     */
    private static final long OPEN_SLOTS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /**
     * Minimum interval between two reports of the load alone, for each connected entry. Longer than
     * that of open slots, because entries also learn the load from responses.
     */
    private static final long LOAD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /**
     * Number of failed status reads in a row after which the replica counts as ended; a single
     * response may be lost or malformed.
     */
    private static final int FAILED_READS_OF_AN_END = 3;

    /** Window over which replicas spread their reloads when a base model has a new version. */
    private static final long MODEL_RELOAD_SPREAD_MILLIS = 2_000;

    private final LoaderOptions mOptions;
    private final UnansweredOrders mUnanswered;
    private final GatewayOutbox mOut = new GatewayOutbox();
    private final KeyValueRequestIds mRequestIds = new KeyValueRequestIds(REQUEST_ID_OWNER);
    private final OperatorState mOperator;
    private final AdapterDemands mDemands = new AdapterDemands();
    private final FleetBacklog mBacklog = new FleetBacklog();
    private final Map<String, Long> mModelReloadDueNanos = new HashMap<>();
    private final Set<NodeId> mEntries = new TreeSet<>();
    private final Map<String, Long> mCounts = new LinkedHashMap<>();
    private TargetStatus mStatus;
    private String mInstance;

    /** Incarnation whose orders are counted; differs from a lost one only after a new start. */
    private String mLifeInstance;

    /** Number of accepted orders that the last status said. */
    private long mReadOrders;

    /** Number of accepted orders that responses to orders have said since. */
    private long mKnownOrders;

    /** Incarnation that status reads have failed for and whose end was not reported. */
    private String mLostInstance;

    /** Status reads that have failed since the last successful one. */
    private int mFailedReads;

    private MemberMessage.TargetReport mLastReport;
    private int mReportedOpenSlots;
    private long mOpenSlotsReportedNanos;
    private long mReportedNanos;
    private Set<String> mLastModels = Set.of();
    private long mReportSequence;
    private long mFencingToken;
    private long mClaimRequestId;
    private long mClaimSentNanos;
    private long mNextClaimNanos = Long.MIN_VALUE;
    private boolean mReadPending;
    private long mReadSentNanos;
    private boolean mOrderPending;
    private long mNextOrderNanos = Long.MIN_VALUE;
    private boolean mStopping;

    /**
     * Creates a node that has not read the status of its replica yet.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public LoaderNode(LoaderOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mUnanswered = new UnansweredOrders(options.fencingEnforced());
        mOperator =
                new OperatorState(options.reader(), mRequestIds, mOut, (settings, nowNanos) -> {});
    }

    /** Returns the state as maps, lists, strings and numbers for JSON. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("fencingToken", mFencingToken);
        dump.put("revision", mOperator.revision());
        dump.put("status", String.valueOf(mStatus));
        dump.put("entries", mEntries.toString());
        dump.put("backlogTokens", mBacklog.totalTokens());
        dump.put("backlogInvalidReports", mBacklog.invalidReports());
        dump.put("unansweredOrders", mUnanswered.size());
        dump.put("counts", Map.copyOf(mCounts));
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param nowNanos the current time, not before that of the previous event
     * @param effects receives the effects in order, before this method returns
     */
    public void handle(GatewayEvent event, long nowNanos, Consumer<GatewayEffect> effects) {
        mOut.setConsumer(effects);
        if (event instanceof GatewayEvent.PeerMessageReceived said) {
            if (said.message() instanceof GatewayMessage.AdapterNeeds needs) {
                mDemands.onNeeds(said.peer(), needs.needs(), nowNanos);
            } else if (said.message() instanceof GatewayMessage.PrefillBacklog backlog) {
                if (mBacklog.onReport(said.peer(), backlog.tokens())) {
                    mOut.log(
                            LogLine.of("backlog_invalid")
                                    .with("entry", said.peer().name())
                                    .with("tokens", backlog.tokens()));
                }
            }
        } else if (event instanceof GatewayEvent.PeerUp up) {
            mEntries.add(up.peer());
            if (mLastReport != null) {
                mOut.send(up.peer(), mLastReport);
                mOut.send(up.peer(), new GatewayMessage.OpenAdapterSlots(mReportedOpenSlots));
            }
        } else if (event instanceof GatewayEvent.PeerDown down) {
            mEntries.remove(down.peer());
            mDemands.onEntryDisconnected(down.peer(), nowNanos);
            mBacklog.onDisconnected(down.peer());
        } else if (event instanceof GatewayEvent.KeyValueResponseReceived replied) {
            onKeyValue(replied.requestId(), replied.response(), nowNanos);
        } else if (event instanceof GatewayEvent.StatusRead read) {
            onStatus(read.status(), nowNanos);
        } else if (event instanceof GatewayEvent.OrderDone done) {
            onOrderDone(done.order(), done.outcome(), nowNanos);
        } else if (event instanceof GatewayEvent.StopRequested) {
            mStopping = true;
        } else if (event instanceof GatewayEvent.Tick) {
            onTick(nowNanos);
        }
        orderNext(nowNanos);
        sendOpenSlots(nowNanos);
        mBacklog.sendDue(
                nowNanos,
                (entry, tokens) -> mOut.send(entry, new GatewayMessage.PrefillBacklog(tokens)));
        if (mStopping && !mOrderPending) {
            mOut.effect(new GatewayEffect.Exit());
        }
    }

    /**
     * Requests a fencing token if there is none, or if an order of a former life of the replica
     * bears the present one, unless such a request is pending.
     */
    private void claim(long nowNanos) {
        if (mClaimRequestId != 0 && nowNanos - mClaimSentNanos > CLAIM_TIMEOUT_NANOS) {
            mClaimRequestId = 0;
        }
        boolean needed = mFencingToken == 0 || mUnanswered.isOfFormerLife(mFencingToken);
        if (!needed || mClaimRequestId != 0 || nowNanos < mNextClaimNanos) {
            return;
        }
        mClaimSentNanos = nowNanos;
        mClaimRequestId = mRequestIds.next();
        KeyValueRequest.Write write =
                new KeyValueRequest.Write(
                        CLAIM_PREFIX + mOptions.address(),
                        ByteString.copyFromUtf8(mOptions.name()),
                        0);
        mOut.sendKeyValueRequest(
                mClaimRequestId, new KeyValueRequest.Transaction(List.of(), List.of(write)));
    }

    private Optional<EngineLimits> engine() {
        return mOperator.service(mOptions.service()).flatMap(GatewayService::engine);
    }

    /**
     * Returns the base model that an empty replica loads: the one that it held last, else one
     * chosen by the hash of its address.
     */
    private Optional<String> initialModel(EngineLimits engine) {
        List<String> models = engine.models().keySet().stream().sorted().toList();
        Optional<String> held = models.stream().filter(mLastModels::contains).findFirst();
        if (held.isPresent() || models.isEmpty()) {
            return held;
        }
        return Optional.of(models.get(Math.floorMod(mOptions.address().hashCode(), models.size())));
    }

    private void onKeyValue(long requestId, KeyValueResponse response, long nowNanos) {
        if (requestId == mClaimRequestId && requestId != 0) {
            mClaimRequestId = 0;
            if (response instanceof KeyValueResponse.TransactionResult committed
                    && committed.succeeded()) {
                mFencingToken = committed.revision();
                mOut.log(LogLine.of("orders_claimed").with("fencing_token", mFencingToken));
            } else {
                mNextClaimNanos = nowNanos + RETRY_DELAY_NANOS;
            }
            return;
        }
        mOperator.onResponse(requestId, response, nowNanos);
    }

    private void onOrderDone(TargetOrder order, TargetOrder.Outcome outcome, long nowNanos) {
        mOrderPending = false;
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
        mUnanswered.onOutcome(order, outcome, nowNanos);
        if (outcome == TargetOrder.Outcome.ACCEPTED) {
            mKnownOrders = Math.max(mKnownOrders, order.expectedOrders() + 1);
        }
        if (outcome == TargetOrder.Outcome.FENCED) {
            mFencingToken = 0;
            mNextClaimNanos = nowNanos + 2 * mOptions.leaseNanos();
        } else if (outcome != TargetOrder.Outcome.ACCEPTED
                && outcome != TargetOrder.Outcome.CONFLICT) {
            mNextOrderNanos = nowNanos + RETRY_DELAY_NANOS;
        }
        mStatus = null;
        readStatus(nowNanos);
    }

    private void onStatus(Optional<TargetStatus> status, long nowNanos) {
        mReadPending = false;
        if (status.isEmpty()) {
            mFailedReads++;
            if (mFailedReads == FAILED_READS_OF_AN_END) {
                reportEnd();
            }
            if (mInstance != null) {
                mCounts.merge("replica_lost", 1L, Long::sum);
                mOut.log(
                        LogLine.of("replica_lost")
                                .with("address", mOptions.address())
                                .with("instance", mInstance)
                                .with("running", mLastReport.running())
                                .with("adapters", mLastReport.resident().size())
                                .with("loading", mLastReport.loading().size()));
                mLostInstance = mInstance;
                mInstance = null;
            }
            mStatus = null;
            return;
        }
        mFailedReads = 0;
        mStatus = status.get();
        String instance = TargetRecord.incarnation(mStatus.instance(), mStatus.startedAtMillis());
        if (instance.equals(mLostInstance)) {
            mLostInstance = null;
        }
        applyOrders(instance);
        if (!instance.equals(mInstance)) {
            mLostInstance = mInstance == null ? mLostInstance : mInstance;
            reportEnd();
            mInstance = instance;
            mOut.log(
                    LogLine.of("replica_seen")
                            .with("instance", mStatus.instance())
                            .with("started_at_ms", mStatus.startedAtMillis())
                            .with("orders", mStatus.orders())
                            .with("orders_unanswered", mUnanswered.size())
                            .with("models", mStatus.models())
                            .with("adapters", mStatus.adapters()));
        }
        mDemands.onResident(mStatus.adapters(), nowNanos);
        sendReport(nowNanos);
    }

    /**
     * Applies the count of accepted orders. A replica whose count has gone back has started again,
     * and one whose start is not known may have if its status could not be read meanwhile.
     */
    private void applyOrders(String instance) {
        boolean mayHaveStarted = mStatus.startedAtMillis() == 0 && mInstance == null;
        if (!instance.equals(mLifeInstance) || mStatus.orders() < mReadOrders || mayHaveStarted) {
            mUnanswered.onStartedAgain(mStatus.instance());
            mLifeInstance = instance;
        } else if (mStatus.orders() > mKnownOrders) {
            mCounts.merge("orders_late", 1L, Long::sum);
            mOut.log(
                    LogLine.of("orders_late")
                            .with("instance", mStatus.instance())
                            .with("orders", mStatus.orders())
                            .with("expected_orders", mKnownOrders)
                            .with("orders_unanswered", mUnanswered.size())
                            .with("adapters", mStatus.adapters().size())
                            .with("loading", mStatus.loading()));
        }
        mReadOrders = mStatus.orders();
        mKnownOrders = mReadOrders;
    }

    /** Tells the entries that the incarnation of the replica that was lost, if any, has ended. */
    private void reportEnd() {
        if (mLostInstance != null) {
            GatewayMessage ended = new GatewayMessage.TargetEnded(mLostInstance);
            mEntries.forEach(entry -> mOut.send(entry, ended));
            mLostInstance = null;
        }
    }

    private void onTick(long nowNanos) {
        mOperator.onTick(nowNanos);
        mUnanswered.onTick(nowNanos);
        claim(nowNanos);
        boolean loading = mStatus == null || mStatus.busy() || !mStatus.loading().isEmpty();
        long interval =
                loading ? mOptions.busyReadIntervalNanos() : mOptions.idleReadIntervalNanos();
        if (nowNanos - mReadSentNanos >= interval) {
            readStatus(nowNanos);
        }
    }

    private void order(
            TargetOrder.Operation operation, String model, String adapter, long nowNanos) {
        mOrderPending = true;
        mUnanswered.onSent();
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

    /** Emits the next order unless one is pending or a precondition is missing. */
    private void orderNext(long nowNanos) {
        Optional<EngineLimits> engine = engine();
        if (mOrderPending
                || mStopping
                || mStatus == null
                || mStatus.instance().isEmpty()
                || mFencingToken == 0
                || engine.isEmpty()
                || nowNanos < mNextOrderNanos) {
            return;
        }
        if (!orderModel(engine.get(), nowNanos) && mStatus.loading().size() < MAX_LOADING) {
            orderAdapter(engine.get(), nowNanos);
        }
    }

    /**
     * Orders a base model that is missing or outdated. Returns whether such an order was emitted or
     * is in progress, so that no adapter may be ordered.
     */
    private boolean orderModel(EngineLimits engine, long nowNanos) {
        if (mStatus.busy()) {
            return true;
        }
        if (mStatus.models().isEmpty()) {
            Optional<String> model = initialModel(engine);
            model.ifPresent(it -> order(TargetOrder.Operation.LOAD, it, "", nowNanos));
            return model.isPresent();
        }
        mLastModels = mStatus.models().keySet();
        for (Map.Entry<String, Long> model : mStatus.models().entrySet()) {
            if (mOperator.wantedVersion(model.getKey()) <= model.getValue()) {
                mModelReloadDueNanos.remove(model.getKey());
                continue;
            }
            long spread = Math.floorMod(mOptions.address().hashCode(), MODEL_RELOAD_SPREAD_MILLIS);
            long dueNanos =
                    mModelReloadDueNanos.computeIfAbsent(
                            model.getKey(), m -> nowNanos + TimeUnit.MILLISECONDS.toNanos(spread));
            if (nowNanos >= dueNanos) {
                order(TargetOrder.Operation.LOAD, model.getKey(), "", nowNanos);
                return true;
            }
        }
        return false;
    }

    /**
     * Orders the load of an outdated or missing adapter, or the unload of an idle one if a missing
     * adapter finds no open slot.
     */
    private void orderAdapter(EngineLimits engine, long nowNanos) {
        Map<String, Long> resident = mStatus.adapters();
        List<String> loading = mStatus.loading();
        for (Map.Entry<String, Long> adapter : resident.entrySet()) {
            long wanted = mOperator.wantedVersion(adapter.getKey());
            if (wanted > adapter.getValue() && !loading.contains(adapter.getKey())) {
                order(
                        TargetOrder.Operation.LOAD,
                        EngineLimits.modelOf(adapter.getKey()),
                        adapter.getKey(),
                        nowNanos);
                return;
            }
        }
        for (String adapter : mDemands.missingAdapters(resident, loading)) {
            String model = EngineLimits.modelOf(adapter);
            if (!mStatus.models().containsKey(model)) {
                continue;
            }
            int room = adapterRoom(engine, model) - adaptersToCome(adapter);
            if (room > 0 || resident.containsKey(adapter)) {
                order(TargetOrder.Operation.LOAD, model, adapter, nowNanos);
                return;
            }
            Optional<String> idle = mDemands.evictionCandidate(resident, nowNanos);
            if (idle.isPresent()) {
                order(
                        TargetOrder.Operation.UNLOAD,
                        EngineLimits.modelOf(idle.get()),
                        idle.get(),
                        nowNanos);
                return;
            }
        }
    }

    /**
     * Returns the room to keep for orders that may be carried out after the next one.
     *
     * @param adapter the adapter that the next order loads, empty for none
     */
    private int adaptersToCome(String adapter) {
        Set<String> held = new TreeSet<>(heldAdapters());
        held.add(adapter);
        return mUnanswered.adaptersToCome(mStatus.orders() + 1, held);
    }

    /** Returns how many more adapters of a model fit into the replica beside all that it holds. */
    private int adapterRoom(EngineLimits engine, String model) {
        return engine.adapterRoom(model, mStatus.models().keySet(), heldAdapters());
    }

    /** Returns the adapters that the replica holds and those that it is loading. */
    private List<String> heldAdapters() {
        List<String> held = new ArrayList<>(mStatus.adapters().keySet());
        held.addAll(mStatus.loading());
        return held;
    }

    /** Requests the status of the replica unless such a request is pending. */
    private void readStatus(long nowNanos) {
        if (!mReadPending) {
            mReadPending = true;
            mReadSentNanos = nowNanos;
            String healthPath =
                    mOperator
                            .service(mOptions.service())
                            .map(GatewayService::healthPath)
                            .orElse("");
            mOut.effect(new GatewayEffect.ReadStatus(healthPath));
        }
    }

    /** Returns the interval of messages to all entries, given that for a single entry. */
    private long intervalNanos(long nanosPerEntry) {
        return Math.max(1, mEntries.size()) * nanosPerEntry;
    }

    /**
     * Reports adapters and load of the replica to all entries if they have changed. If only the
     * load has changed, the shorter {@link MemberMessage.TargetLoad} is sent, not more often than
     * once in the interval for it; a later status read repeats a report that was left out.
     */
    private void sendReport(long nowNanos) {
        List<AdapterVersion> resident = new ArrayList<>();
        new TreeMap<>(mStatus.adapters())
                .forEach(
                        (name, version) ->
                                resident.add(VersionNumbers.toAdapterVersion(name, version)));
        List<AdapterVersion> loading = new ArrayList<>();
        mStatus.loading().forEach(name -> loading.add(VersionNumbers.toAdapterVersion(name, 0)));
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
        if (report.equals(mLastReport)) {
            return;
        }
        boolean adaptersChanged =
                mLastReport == null
                        || !resident.equals(mLastReport.resident())
                        || !loading.equals(mLastReport.loading())
                        || slots != mLastReport.concurrency();
        if (!adaptersChanged && nowNanos - mReportedNanos < intervalNanos(LOAD_INTERVAL_NANOS)) {
            return;
        }
        mReportedNanos = nowNanos;
        mReportSequence++;
        MemberMessage.TargetLoad load =
                new MemberMessage.TargetLoad(
                        mReportSequence, report.running(), report.queued(), slots, 0);
        mLastReport = report.with(load);
        mEntries.forEach(entry -> mOut.send(entry, adaptersChanged ? mLastReport : load));
    }

    /** Reports the number of open adapter slots to all entries if it has changed. */
    private void sendOpenSlots(long nowNanos) {
        long interval = intervalNanos(OPEN_SLOTS_INTERVAL_NANOS);
        Optional<EngineLimits> engine = engine();
        if (mStatus == null
                || engine.isEmpty()
                || mStatus.models().isEmpty()
                || nowNanos - mOpenSlotsReportedNanos < interval) {
            return;
        }
        int room = 0;
        for (String model : mStatus.models().keySet()) {
            room = Math.max(room, adapterRoom(engine.get(), model));
        }
        int capacity = heldAdapters().size() + room - adaptersToCome("");
        int open = mDemands.openSlots(mStatus.adapters(), mStatus.loading(), capacity, nowNanos);
        if (open != mReportedOpenSlots) {
            mReportedOpenSlots = open;
            mOpenSlotsReportedNanos = nowNanos;
            mEntries.forEach(entry -> mOut.send(entry, new GatewayMessage.OpenAdapterSlots(open)));
        }
    }
}
