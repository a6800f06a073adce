package ebonygw.process;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.EntryNode;
import ebonygw.caller.CallerDecisions;
import ebonygw.caller.CallerOptions;
import ebonygw.caller.CallerServer;
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
 * An entry process: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class EntryProcess implements RunningProcess {
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ProcessShell<EntryEvent, EntryEffect> mShell;
    private final NodeRuntime<EntryEvent> mRuntime;
    private final CallerServer mCallers;
    private final RequestTimes mTimes;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final AtomicLong mTickets = new AtomicLong();
    private final Map<Long, CompletableFuture<ChangeOutcome>> mChanges = new ConcurrentHashMap<>();
    private volatile AdminServer mAdmin;
    private volatile Supplier<SettingsState> mSettingsState = () -> SettingsState.EMPTY;
    private long mNowNanos;

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
        mShell = new ProcessShell<>(common, self, new EntryEvents(), operators);
        mRuntime = mShell.runtime();
        mTimes = new RequestTimes(mShell.metrics().registry());
        mCallers =
                new CallerServer(
                        callerOptions(settings, mRuntime.self()),
                        new CallerDecisions(this::post, mShell::ready, mShell::settings));
    }

    /**
     * Starts a process with the node of its settings.
     *
     * @param settings its settings
     * @param operators handlers of the operators' listener by prefix of the path
     * @return the process, which listens
     * @throws IOException if a client cannot be created
     * @throws IllegalStateException if an address cannot be listened on
     */
    public static EntryProcess start(EntrySettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        AtomicReference<EntryNode> made = new AtomicReference<>();
        EntryProcess process =
                start(
                        settings,
                        operators,
                        self -> {
                            made.set(Nodes.entry(settings, self, new SecureRandom().nextLong()));
                            return Nodes.driver(made.get());
                        });
        process.mSettingsState = made.get()::settingsState;
        if (settings.admin().isPresent()) {
            process.startAdmin(settings.admin().get());
        }
        return process;
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
     * @param operators handlers of the operators' listener by prefix of the path
     * @param node makes the node of this process
     * @return the process, which listens
     * @throws IOException if a client cannot be created
     * @throws IllegalStateException if an address cannot be listened on
     */
    public static EntryProcess start(
            EntrySettings settings,
            Map<String, HttpHandler> operators,
            Function<Member, NodeDriver<EntryEvent, EntryEffect>> node)
            throws IOException {
        EntryProcess process = new EntryProcess(settings, operators);
        try {
            process.run(node.apply(process.mRuntime.self()));
        } catch (IllegalStateException cannotListen) {
            process.close();
            throw cannotListen;
        }
        return process;
    }

    @Override
    public void askStop() {
        mRuntime.askStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mRuntime.awaitExit(timeoutNanos);
    }

    /** Returns the administration API, empty if it is not offered. */
    public Optional<URI> adminEndpoint() {
        return Optional.ofNullable(mAdmin).map(AdminServer::endpoint);
    }

    /** Returns the address that it listens on for callers. */
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
        mShell.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mRuntime.dump();
    }

    /** Returns the address of the operators' listener. */
    public InetSocketAddress operatorAddress() {
        return mShell.operatorAddress();
    }

    /** Returns whether it takes requests. */
    public boolean ready() {
        return mShell.ready();
    }

    /** Returns this process as others see it. */
    public Member self() {
        return mRuntime.self();
    }

    /** Returns the settings in force here with their tree and log. */
    public SettingsState settingsState() {
        return mSettingsState.get();
    }

    /**
     * Submits a change of the settings.
     *
     * @return completes with its outcome; never, if the process ends before
     */
    public CompletableFuture<ChangeOutcome> submit(SettingsChange change) {
        long ticket = mTickets.incrementAndGet();
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        mChanges.put(ticket, outcome);
        mRuntime.loop().put(new EntryEvent.ChangeSubmitted(ticket, change));
        return outcome;
    }

    private static CallerOptions callerOptions(EntrySettings settings, Member self) {
        InetSocketAddress address = settings.callerAddress();
        CallerOptions usual =
                CallerOptions.of(
                        self.id(),
                        self.incarnation(),
                        address.getAddress().getHostAddress(),
                        address.getPort());
        return new CallerOptions(
                usual.node(),
                usual.incarnation(),
                usual.address(),
                usual.port(),
                settings.callerTls(),
                settings.ioThreads(),
                settings.maxRequests(),
                settings.maxBodyBytes(),
                usual.maxBufferedBytes(),
                usual.maxHeaderBytes(),
                usual.bodyTimeoutNanos(),
                usual.writeTimeoutNanos(),
                usual.defaultMaxTokens());
    }

    private void apply(EntryEffect effect) {
        mTimes.onEffect(effect, mNowNanos);
        if (effect instanceof EntryEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof EntryEffect.KeyValue call) {
            mRuntime.keyValue(call.callId(), call.call());
        } else if (effect instanceof EntryEffect.Links links) {
            mRuntime.links(links.members());
        } else if (effect instanceof EntryEffect.Log log) {
            mRuntime.log(log.event(), log.fields());
        } else if (effect instanceof EntryEffect.ChangeSettled settled) {
            settle(settled);
        } else if (effect instanceof EntryEffect.Exit) {
            mRuntime.exit();
        } else {
            mCallers.apply(effect);
        }
    }

    private void post(EntryEvent event) {
        if (!(event instanceof EntryEvent.CallerAsked asked)) {
            mRuntime.loop().put(event);
        } else if (!mRuntime.loop().offer(event)) {
            Refusal refusal =
                    Refusal.notRun(RefusalCode.OVERLOADED, "the control thread is overloaded");
            mCallers.apply(new EntryEffect.Refused(asked.exchange(), refusal));
        }
    }

    private void run(NodeDriver<EntryEvent, EntryEffect> node) {
        NodeDriver.Handler<EntryEvent, EntryEffect> timed =
                (event, nowNanos, effects) -> {
                    mNowNanos = nowNanos;
                    mTimes.onEvent(event, nowNanos);
                    node.handler().handle(event, nowNanos, effects);
                };
        mShell.start(
                new NodeDriver<>(timed, node.dump(), node.ready(), node.settings()), this::apply);
        Listeners.start(mCallers::start, "callers");
        LogLine.of("listening_for_callers").with("address", callerAddress()).info();
    }

    private void settle(EntryEffect.ChangeSettled settled) {
        CompletableFuture<ChangeOutcome> outcome = mChanges.remove(settled.ticket());
        if (outcome != null) {
            outcome.complete(settled.outcome());
        }
    }

    private void startAdmin(AdminServerOptions options) throws IOException {
        try {
            mAdmin = new AdminServer(options, mSettingsState, this::submit, adapter -> false);
        } catch (IOException | RuntimeException failure) {
            close();
            throw new IllegalStateException("administration API: " + failure.getMessage(), failure);
        }
        LogLine.of("listening_for_administration").with("address", mAdmin.endpoint()).info();
    }
}
