package ebonygw.process;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.EntryNode;
import ebonygw.caller.CallerOptions;
import ebonygw.caller.CallerServer;
import ebonygw.caller.CallerServerCallbacks;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.operator.AdminServer;
import ebonygw.operator.AdminServerOptions;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.SettingsChange;
import ebonygw.settings.SettingsState;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * An entry process: runs an entry node and connects it to callers, peers, the key-value service and
 * operators.
 *
 * <p>Thread-safe.
 */
public final class EntryProcess implements RunningProcess {
    /** Maximum time to write pending responses to callers on close. */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ProcessInfrastructure<EntryEvent, EntryEffect> mInfrastructure;
    private final NodeRuntime<EntryEvent> mRuntime;
    private final CallerServer mCallers;
    private final RequestTimers mRequestTimers;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final AtomicLong mLastChangeId = new AtomicLong();

    /** Outcomes of the submitted changes that are not complete yet, by id of the change. */
    private final Map<Long, CompletableFuture<ChangeOutcome>> mPendingChanges =
            new ConcurrentHashMap<>();

    private volatile AdminServer mAdmin;
    private volatile Supplier<SettingsState> mSettingsState = () -> SettingsState.EMPTY;

    /** Time of the event being handled; accessed on the control thread only. */
    private long mEventNanos;

    private EntryProcess(EntrySettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        CommonSettings common = settings.common();
        Member self =
                new Member(
                        new NodeId(common.id()),
                        0,
                        Role.ENTRY,
                        MemberState.JOINING,
                        common.locality(),
                        common.peerAddress(),
                        "");
        mInfrastructure =
                new ProcessInfrastructure<>(common, self, new EntryEventFactory(), operators);
        mRuntime = mInfrastructure.runtime();
        mRequestTimers = new RequestTimers(mInfrastructure.metrics().registry());
        mCallers =
                new CallerServer(
                        callerOptions(settings, mRuntime.self()),
                        new CallerServerCallbacks(
                                this::post, mInfrastructure::ready, mInfrastructure::settings));
    }

    /**
     * Starts a process with a node built from its settings.
     *
     * @param operators additional handlers of the operator listener, by path prefix
     * @return the process, listening on its addresses
     * @throws IOException if a client cannot be created
     * @throws IllegalStateException if an address cannot be bound
     */
    public static EntryProcess start(EntrySettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        AtomicReference<EntryNode> nodeReference = new AtomicReference<>();
        EntryProcess process =
                start(
                        settings,
                        operators,
                        self -> {
                            nodeReference.set(
                                    NodeFactory.entry(
                                            settings, self, new SecureRandom().nextLong()));
                            return NodeFactory.driver(nodeReference.get());
                        });
        process.mSettingsState = nodeReference.get()::settingsState;
        if (settings.admin().isPresent()) {
            process.startAdmin(settings.admin().get());
        }
        return process;
    }

    /**
     * Starts a process with the given node.
     *
     * @param operators additional handlers of the operator listener, by path prefix
     * @param node creates the node, given this process with its incarnation and address
     * @return the process, listening on its addresses
     * @throws IOException if a client cannot be created
     * @throws IllegalStateException if an address cannot be bound
     */
    public static EntryProcess start(
            EntrySettings settings,
            Map<String, HttpHandler> operators,
            Function<Member, NodeDriver<EntryEvent, EntryEffect>> node)
            throws IOException {
        EntryProcess process = new EntryProcess(settings, operators);
        try {
            process.run(node.apply(process.mRuntime.self()));
        } catch (IllegalStateException bindFailure) {
            process.close();
            throw bindFailure;
        }
        return process;
    }

    @Override
    public void requestStop() {
        mRuntime.requestStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mRuntime.awaitExit(timeoutNanos);
    }

    /** Returns the URL of the administration API, empty if the API is disabled. */
    public Optional<URI> adminEndpoint() {
        return Optional.ofNullable(mAdmin).map(AdminServer::endpoint);
    }

    /** Returns the address that the caller listener is bound to. */
    public InetSocketAddress callerAddress() {
        return mCallers.address();
    }

    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        try {
            mCallers.stop(DRAIN_NANOS);
        } catch (InterruptedException interrupted) {
            LogLine.of("drain_interrupted").warn();
            Thread.currentThread().interrupt();
        }
        if (mAdmin != null) {
            mAdmin.close();
        }
        mInfrastructure.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mRuntime.dump();
    }

    /** Returns the address that the operator listener is bound to. */
    public InetSocketAddress operatorAddress() {
        return mInfrastructure.operatorAddress();
    }

    /** Returns whether the node accepted requests after its last event. */
    public boolean ready() {
        return mInfrastructure.ready();
    }

    /** Returns this process as it is announced to its peers. */
    public Member self() {
        return mRuntime.self();
    }

    /** Returns the settings in force in this process, with their tree and log. */
    public SettingsState settingsState() {
        return mSettingsState.get();
    }

    /**
     * Submits a change of the settings.
     *
     * @return completes with the outcome of the change; never completes if the process exits first
     */
    public CompletableFuture<ChangeOutcome> submit(SettingsChange change) {
        long changeId = mLastChangeId.incrementAndGet();
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        mPendingChanges.put(changeId, outcome);
        mRuntime.loop().put(new EntryEvent.ChangeSubmitted(changeId, change));
        return outcome;
    }

    private static CallerOptions callerOptions(EntrySettings settings, Member self) {
        InetSocketAddress address = settings.callerAddress();
        CallerOptions defaults =
                CallerOptions.of(
                        self.id(),
                        self.incarnation(),
                        address.getAddress().getHostAddress(),
                        address.getPort());
        return new CallerOptions(
                defaults.node(),
                defaults.incarnation(),
                defaults.address(),
                defaults.port(),
                settings.callerTls(),
                settings.ioThreads(),
                settings.maxRequests(),
                settings.maxBodyBytes(),
                defaults.maxBufferedBytes(),
                defaults.maxHeaderBytes(),
                defaults.bodyTimeoutNanos(),
                defaults.writeTimeoutNanos(),
                defaults.defaultMaxTokens());
    }

    private void apply(EntryEffect effect) {
        mRequestTimers.onEffect(effect, mEventNanos);
        if (effect instanceof EntryEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof EntryEffect.KeyValue keyValue) {
            mRuntime.sendKeyValueRequest(keyValue.requestId(), keyValue.request());
        } else if (effect instanceof EntryEffect.Links links) {
            mRuntime.maintainConnections(links.members());
        } else if (effect instanceof EntryEffect.Log log) {
            mRuntime.log(log.event(), log.fields());
        } else if (effect instanceof EntryEffect.ChangeCompleted settled) {
            completeChange(settled);
        } else if (effect instanceof EntryEffect.Exit) {
            mRuntime.exit();
        } else {
            mCallers.apply(effect);
        }
    }

    private void completeChange(EntryEffect.ChangeCompleted settled) {
        CompletableFuture<ChangeOutcome> outcome = mPendingChanges.remove(settled.correlationId());
        if (outcome != null) {
            outcome.complete(settled.outcome());
        }
    }

    private void post(EntryEvent event) {
        if (!(event instanceof EntryEvent.RequestReceived request)) {
            mRuntime.loop().put(event);
        } else if (!mRuntime.loop().offer(event)) {
            Refusal refusal =
                    Refusal.notRun(RefusalCode.OVERLOADED, "the control thread is overloaded");
            mCallers.apply(new EntryEffect.Refused(request.exchangeId(), refusal));
        }
    }

    private void run(NodeDriver<EntryEvent, EntryEffect> node) {
        NodeDriver.Handler<EntryEvent, EntryEffect> measured =
                (event, nowNanos, effects) -> {
                    mEventNanos = nowNanos;
                    mRequestTimers.onEvent(event, nowNanos);
                    node.handler().handle(event, nowNanos, effects);
                };
        mInfrastructure.start(
                new NodeDriver<>(measured, node.dump(), node.ready(), node.settings()),
                this::apply);
        Listeners.start(mCallers::start, "callers");
        LogLine.of("listening_for_callers").with("address", callerAddress()).info();
    }

    private void startAdmin(AdminServerOptions options) throws IOException {
        try {
            mAdmin = new AdminServer(options, mSettingsState, this::submit, adapter -> false);
        } catch (IOException | RuntimeException failure) {
            close();
            throw new IllegalStateException(
                    "cannot start the administration API: " + failure.getMessage(), failure);
        }
        LogLine.of("listening_for_administration").with("address", mAdmin.endpoint()).info();
    }
}
