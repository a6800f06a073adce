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
 * An entry that forwards to targets directly: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class GatewayProcess implements RunningProcess {
    private final GatewayShell mShell;
    private final GatewayNode mNode;
    private final GatewayServer mServer;
    private final LatencyTable mLatencies = new LatencyTable();
    private volatile boolean mReady;
    private volatile boolean mStopping;

    private GatewayProcess(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            GatewayRuntimeOptions common,
            XnioWorker worker) {
        mServer =
                new GatewayServer(
                        server, worker, headers, this::post, () -> mReady, () -> mStopping);
        mShell =
                new GatewayShell(
                        common,
                        options.self(),
                        worker,
                        this::handle,
                        mLatencies::register,
                        () -> mReady);
        mNode = new GatewayNode(options);
    }

    /**
     * Starts a process.
     *
     * @param options options of its node
     * @param server options of its server
     * @param headers translates header fields
     * @param common options of what surrounds its node
     * @return the process, which listens
     * @throws IOException if its IO thread cannot be started
     * @throws IllegalStateException if an address cannot be listened on
     */
    public static GatewayProcess start(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            GatewayRuntimeOptions common)
            throws IOException {
        Objects.requireNonNull(options, "options");
        GatewayProcess process =
                new GatewayProcess(options, server, headers, common, HttpClient.worker("io"));
        Listeners.start(process.mServer::start, "callers");
        NodeRuntime<GatewayEvent> runtime = process.mShell.runtime();
        process.mShell.start(() -> process.mNode.dump(runtime.nowNanos()));
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
    public void askStop() {
        mReady = false;
        mStopping = true;
        mServer.drain();
        mShell.runtime().askStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mShell.runtime().awaitExit(timeoutNanos);
    }

    /** Returns the address on which it listens for callers. */
    public InetSocketAddress callerAddress() {
        return mServer.callerAddress();
    }

    @Override
    public void close() {
        mServer.stop();
        mShell.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mShell.runtime().dump();
    }

    /** Returns the address on which it answers operators. */
    public InetSocketAddress operatorAddress() {
        return mShell.operatorAddress();
    }

    /** Returns whether callers are welcome. */
    public boolean ready() {
        return mReady;
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Ended ended) {
            mLatencies.record(ended);
        } else if (!mShell.apply(effect)) {
            mServer.apply(effect);
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
        mReady = mNode.ready() && !mStopping;
    }

    private boolean post(GatewayEvent event) {
        if (event instanceof GatewayEvent.CallerAsked) {
            return mShell.runtime().loop().offer(event);
        }
        mShell.runtime().loop().put(event);
        return true;
    }
}
