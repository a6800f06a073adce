package ebonygw.process;

import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.HttpClientOptions;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.NodeId;
import ebonygw.target.EngineClient;
import ebonygw.target.PlainServiceClient;
import ebonygw.target.TargetClient;
import ebonygw.target.TargetClientOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

/**
 * A target process: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class TargetProcess implements RunningProcess {
    private final ProcessShell<TargetEvent, TargetEffect> mShell;
    private final NodeRuntime<TargetEvent> mRuntime;
    private final TargetClient mTarget;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private TargetProcess(TargetSettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        CommonSettings common = settings.common();
        Member self =
                new Member(
                        new NodeId(common.id()),
                        0,
                        Role.TARGET,
                        MemberState.JOINING,
                        common.locality(),
                        common.peerAddress(),
                        settings.serves());
        mShell = new ProcessShell<>(common, self, new TargetEvents(), operators);
        mRuntime = mShell.runtime();
        mTarget = client(settings);
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
    public static TargetProcess start(TargetSettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        return start(
                settings,
                operators,
                self -> Nodes.target(settings, self, new SecureRandom().nextLong()));
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
    public static TargetProcess start(
            TargetSettings settings,
            Map<String, HttpHandler> operators,
            Function<Member, NodeDriver<TargetEvent, TargetEffect>> node)
            throws IOException {
        TargetProcess process = new TargetProcess(settings, operators);
        try {
            process.mShell.start(node.apply(process.mRuntime.self()), process::apply);
            process.mTarget.start();
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

    @Override
    public void close() {
        if (mClosed.compareAndSet(false, true)) {
            mShell.close();
            mTarget.close();
        }
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

    private void apply(TargetEffect effect) {
        if (effect instanceof TargetEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof TargetEffect.KeyValue call) {
            mRuntime.keyValue(call.callId(), call.call());
        } else if (effect instanceof TargetEffect.Links links) {
            mRuntime.links(links.members());
        } else if (effect instanceof TargetEffect.Log log) {
            mRuntime.log(log.event(), log.fields());
        } else if (effect instanceof TargetEffect.Exit) {
            mRuntime.exit();
        } else {
            mTarget.apply(effect);
        }
    }

    private TargetClient client(TargetSettings settings) throws IOException {
        TargetClientOptions usual = TargetClientOptions.of(settings.target());
        TargetClientOptions options =
                new TargetClientOptions(
                        HttpClientOptions.of(settings.target()),
                        usual.reportIntervalNanos(),
                        usual.reportTimeoutNanos(),
                        settings.longestOrderNanos(),
                        usual.adapterPath());
        return settings.engine()
                ? new EngineClient(options, mRuntime.loop()::put)
                : new PlainServiceClient(options, mRuntime.loop()::put);
    }
}
