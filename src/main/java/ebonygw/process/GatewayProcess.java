package ebonygw.process;

import ebonygw.caller.GatewayServer;
import ebonygw.caller.GatewayServerOptions;
import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.GatewayHeaders;
import ebonygw.gateway.GatewayNode;
import ebonygw.gateway.GatewayOptions;
import ebonygw.http.HttpClient;
import ebonygw.log.LogLine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import org.xnio.XnioWorker;

/**
 * An entry that forwards to targets directly: runs a gateway node and connects it to callers,
 * targets, peers, the key-value service and operators.
 *
 * <p>Thread-safe.
 */
public final class GatewayProcess implements RunningProcess {
    private final GatewayInfrastructure mInfrastructure;
    private final GatewayNode mNode;
    private final GatewayServer mServer;
    private final long mGraceNanos;
    private final LatencyTable mLatencies = new LatencyTable();
    private volatile boolean mReady;
    private volatile boolean mStopping;
    private volatile long mStopRequestedNanos;

    private GatewayProcess(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            GatewayRuntimeOptions common,
            XnioWorker worker) {
        mServer =
                new GatewayServer(
                        server, worker, headers, this::post, () -> mReady, () -> mStopping);
        mInfrastructure =
                new GatewayInfrastructure(
                        common,
                        options.self(),
                        worker,
                        this::handle,
                        mLatencies::register,
                        () -> mReady);
        mNode = new GatewayNode(options);
        mGraceNanos = options.graceNanos();
    }

    /**
     * Starts a process.
     *
     * @param options options of the node
     * @param server options of the server for callers
     * @param headers translates header fields
     * @param common options that entries and loaders share
     * @return the process, listening on its addresses
     * @throws IOException if the IO thread cannot be started
     * @throws IllegalStateException if an address cannot be bound
     */
    public static GatewayProcess start(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            GatewayRuntimeOptions common)
            throws IOException {
        Objects.requireNonNull(options, "options");
        GatewayProcess process =
                new GatewayProcess(options, server, headers, common, HttpClient.createWorker("io"));
        Listeners.start(process.mServer::start, "callers");
        NodeRuntime<GatewayEvent> runtime = process.mInfrastructure.runtime();
        process.mInfrastructure.start(() -> process.mNode.dump(runtime.nowNanos()));
        LogLine.of("started")
                .with("node", options.self().id())
                .with("role", "entry")
                .with("incarnation", runtime.startedAtNanos())
                .with("callers", process.mServer.callerAddress())
                .with("peers", options.self().address())
                .info();
        return process;
    }

    @Override
    public void requestStop() {
        mStopRequestedNanos = System.nanoTime();
        mReady = false;
        mStopping = true;
        mServer.drain();
        mInfrastructure.runtime().requestStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mInfrastructure.runtime().awaitExit(timeoutNanos);
    }

    /** Returns the address that the caller listener is bound to. */
    public InetSocketAddress callerAddress() {
        return mServer.callerAddress();
    }

    @Override
    public void close() {
        LogLine.of("callers_closed").with("undelivered", mServer.undelivered()).info();
        mServer.stop();
        mInfrastructure.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mInfrastructure.runtime().dump();
    }

    /** Returns the address that the operator listener is bound to. */
    public InetSocketAddress operatorAddress() {
        return mInfrastructure.operatorAddress();
    }

    /** Returns whether requests are accepted: the node is ready and no stop was requested. */
    public boolean ready() {
        return mReady;
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Ended ended) {
            mLatencies.record(ended);
        } else if (effect instanceof GatewayEffect.Exit) {
            // What targets have sent may still have to be read by callers.
            long elapsedNanos = System.nanoTime() - mStopRequestedNanos;
            mServer.whenDelivered(mGraceNanos - elapsedNanos, mInfrastructure.runtime()::exit);
        } else if (!mInfrastructure.apply(effect)) {
            mServer.apply(effect);
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
        mReady = mNode.ready() && !mStopping;
    }

    private boolean post(GatewayEvent event) {
        if (event instanceof GatewayEvent.RequestReceived) {
            return mInfrastructure.runtime().loop().offer(event);
        }
        mInfrastructure.runtime().loop().put(event);
        return true;
    }
}
