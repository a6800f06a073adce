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
 * A target process: runs a target node and connects it to its target, peers, the key-value service
 * and operators.
 *
 * <p>Thread-safe.
 */
public final class TargetProcess implements RunningProcess {
    private final ProcessInfrastructure<TargetEvent, TargetEffect> mInfrastructure;
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
        mInfrastructure =
                new ProcessInfrastructure<>(common, self, new TargetEventFactory(), operators);
        mRuntime = mInfrastructure.runtime();
        mTarget = client(settings);
    }

    /**
     * Starts a process with a node built from its settings.
     *
     * @param operators additional handlers of the operator listener, by path prefix
     * @return the process, listening on its addresses
     * @throws IOException if a client cannot be created
     * @throws IllegalStateException if an address cannot be bound
     */
    public static TargetProcess start(TargetSettings settings, Map<String, HttpHandler> operators)
            throws IOException {
        return start(
                settings,
                operators,
                self -> NodeFactory.target(settings, self, new SecureRandom().nextLong()));
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
    public static TargetProcess start(
            TargetSettings settings,
            Map<String, HttpHandler> operators,
            Function<Member, NodeDriver<TargetEvent, TargetEffect>> node)
            throws IOException {
        TargetProcess process = new TargetProcess(settings, operators);
        try {
            process.mInfrastructure.start(node.apply(process.mRuntime.self()), process::apply);
            process.mTarget.start();
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

    @Override
    public void close() {
        if (mClosed.compareAndSet(false, true)) {
            mInfrastructure.close();
            mTarget.close();
        }
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

    private void apply(TargetEffect effect) {
        if (effect instanceof TargetEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof TargetEffect.KeyValue keyValue) {
            mRuntime.sendKeyValueRequest(keyValue.requestId(), keyValue.request());
        } else if (effect instanceof TargetEffect.Links links) {
            mRuntime.maintainConnections(links.members());
        } else if (effect instanceof TargetEffect.Log log) {
            mRuntime.log(log.event(), log.fields());
        } else if (effect instanceof TargetEffect.Exit) {
            mRuntime.exit();
        } else {
            mTarget.apply(effect);
        }
    }

    private TargetClient client(TargetSettings settings) throws IOException {
        TargetClientOptions defaults = TargetClientOptions.of(settings.target());
        TargetClientOptions options =
                new TargetClientOptions(
                        HttpClientOptions.of(settings.target()),
                        defaults.reportIntervalNanos(),
                        defaults.reportTimeoutNanos(),
                        settings.maxOrderNanos(),
                        defaults.adapterPath());
        return settings.engine()
                ? new EngineClient(options, mRuntime.loop()::put)
                : new PlainServiceClient(options, mRuntime.loop()::put);
    }
}
