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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.xnio.XnioWorker;

/**
 * An entry that forwards to targets directly: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class GatewayProcess implements RunningProcess {
    private final XnioWorker mWorker;
    private final NodeRuntime<GatewayEvent> mRuntime;
    private final GatewayNode mNode;
    private final GatewayServer mServer;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile boolean mReady;
    private volatile boolean mStopping;
    private final LatencyTable mLatencies = new LatencyTable();
    private final OperatorListener mOperators;
    private final LazyMetrics mMetrics;

    private GatewayProcess(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            RuntimeOptions runtime,
            InetSocketAddress operators,
            XnioWorker worker,
            Function<XnioWorker, KeyValueCaller> keyValue) {
        mWorker = worker;
        mServer =
                new GatewayServer(
                        server, worker, headers, this::post, () -> mReady, () -> mStopping);
        mRuntime =
                new NodeRuntime<>(
                        runtime,
                        options.self(),
                        keyValue.apply(worker),
                        new GatewayEvents(),
                        this::handle);
        mMetrics = new LazyMetrics(mRuntime, mLatencies::register);
        mOperators =
                new OperatorListener(worker, operators, mMetrics::scrape, this::dump, () -> mReady);
        mNode = new GatewayNode(options);
    }

    /**
     * Starts a process.
     *
     * @param options options of its node
     * @param server options of its server
     * @param headers translates header fields
     * @param runtime options of its runtime
     * @param operators where it answers operators
     * @param keyValue makes the client of the key-value service on the process's IO thread
     * @return the process, which listens
     * @throws IOException if its IO thread cannot be started
     * @throws IllegalStateException if an address cannot be listened on
     */
    public static GatewayProcess start(
            GatewayOptions options,
            GatewayServerOptions server,
            GatewayHeaders headers,
            RuntimeOptions runtime,
            InetSocketAddress operators,
            Function<XnioWorker, KeyValueCaller> keyValue)
            throws IOException {
        Objects.requireNonNull(options, "options");
        XnioWorker worker = HttpClient.worker("io");
        GatewayProcess process =
                new GatewayProcess(options, server, headers, runtime, operators, worker, keyValue);
        Listeners.start(process.mServer::start, "callers");
        process.mOperators.start();
        process.mRuntime.start(() -> process.mNode.dump(process.mRuntime.nowNanos()));
        LogLine.of("started")
                .with("node", options.self().id())
                .with("role", "entry")
                .with("incarnation", process.mRuntime.startedAtNanos())
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
        mRuntime.askStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mRuntime.awaitExit(timeoutNanos);
    }

    /** Returns the address on which it listens for callers. */
    public InetSocketAddress callerAddress() {
        return mServer.callerAddress();
    }

    @Override
    public void close() {
        if (mClosed.compareAndSet(false, true)) {
            mServer.stop();
            mOperators.close();
            mRuntime.close();
            mWorker.shutdown();
        }
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mRuntime.dump();
    }

    /** Returns the address on which it answers operators. */
    public InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    /** Returns whether callers are welcome. */
    public boolean ready() {
        return mReady;
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof GatewayEffect.KeyValue call) {
            mRuntime.keyValue(call.callId(), call.call());
        } else if (effect instanceof GatewayEffect.Links links) {
            mRuntime.links(links.members());
        } else if (effect instanceof GatewayEffect.Ended ended) {
            mLatencies.record(ended);
        } else if (effect instanceof GatewayEffect.Log log) {
            log.line().info();
        } else if (effect instanceof GatewayEffect.Exit) {
            mRuntime.exit();
        } else {
            mServer.apply(effect);
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
        mReady = mNode.ready() && !mStopping;
    }

    private boolean post(GatewayEvent event) {
        if (event instanceof GatewayEvent.CallerAsked) {
            return mRuntime.loop().offer(event);
        }
        mRuntime.loop().put(event);
        return true;
    }
}
