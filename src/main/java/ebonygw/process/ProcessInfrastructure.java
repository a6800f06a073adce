package ebonygw.process;

import ebonygw.hostlist.HostListClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.keyvalue.KeyValueClient;
import ebonygw.keyvalue.KeyValueClientOptions;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.settings.SettingsView;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The parts around the node of an entry or target process, except those that handle its requests:
 * runtime, key-value client, host list client, metrics and operator listener.
 *
 * <p>Thread-safe.
 *
 * @param <E> type of the events of the node
 * @param <F> type of the effects of the node
 */
final class ProcessInfrastructure<E, F> implements AutoCloseable {
    private static final long HOST_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int DEFAULT_HTTP_PORT = 80;

    private final KeyValueClient mKeyValue;
    private final ProcessMetrics mMetrics = new ProcessMetrics();
    private final NodeRuntime<E> mRuntime;
    private final HostListClient mHostListClient;
    private final OperatorListener mOperators;
    private final InetSocketAddress mOperatorAddress;
    private NodeDriver<E, F> mNodeDriver;
    private Consumer<F> mEffectHandler;
    private volatile boolean mReady;
    private volatile SettingsView mSettings;

    /**
     * Starts to listen for peer connections.
     *
     * @param self this process; its incarnation is replaced by the time of the start
     * @param events creates the events passed to the node
     * @param additionalHandlers additional handlers of the operator listener, by path prefix
     * @throws IOException if a client cannot be created
     */
    ProcessInfrastructure(
            CommonSettings settings,
            Member self,
            NodeEventFactory<E> events,
            Map<String, HttpHandler> additionalHandlers)
            throws IOException {
        mKeyValue = new KeyValueClient(KeyValueClientOptions.of(settings.keyValue()));
        mRuntime =
                new NodeRuntime<>(
                        RuntimeOptions.of(settings), self, mKeyValue::send, events, this::handle);
        mHostListClient = hostListClient(settings.hostList());
        mOperatorAddress = settings.operatorAddress();
        mOperators =
                new OperatorListener(
                        mOperatorAddress,
                        this::scrape,
                        mRuntime::dump,
                        this::ready,
                        additionalHandlers);
        mMetrics.addControlLoop(mRuntime.loop());
    }

    @Override
    public void close() {
        mHostListClient.close();
        mRuntime.close();
        mKeyValue.close();
        mOperators.close();
        mMetrics.close();
    }

    ProcessMetrics metrics() {
        return mMetrics;
    }

    /** Returns the address that the operator listener is bound to, once started. */
    InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    /** Returns whether the node accepted requests after its last event. */
    boolean ready() {
        return mReady;
    }

    NodeRuntime<E> runtime() {
        return mRuntime;
    }

    /** Returns the settings of the node after its last event, null before the start. */
    SettingsView settings() {
        return mSettings;
    }

    /**
     * Starts the operator listener, the node and the host list client.
     *
     * @param node driver of the node
     * @param effectHandler executes the effects of the node, called on the control thread
     * @throws IllegalStateException if the operator address cannot be bound
     */
    void start(NodeDriver<E, F> node, Consumer<F> effectHandler) {
        mNodeDriver = node;
        mEffectHandler = effectHandler;
        mSettings = node.settings().get();
        mOperators.start();
        mRuntime.start(node.dump());
        mHostListClient.start();
        LogLine.of("started")
                .with("node", mRuntime.self().id())
                .with("role", mRuntime.self().role())
                .with("incarnation", mRuntime.self().incarnation())
                .with("peer_address", mRuntime.self().address())
                .with("operator_address", operatorAddress())
                .info();
    }

    private void handle(E event, long nowNanos) {
        mNodeDriver.handler().handle(event, nowNanos, mEffectHandler);
        mReady = mNodeDriver.ready().getAsBoolean();
        mSettings = mNodeDriver.settings().get();
    }

    private HostListClient hostListClient(URI url) throws IOException {
        int port = url.getPort() < 0 ? DEFAULT_HTTP_PORT : url.getPort();
        return new HostListClient(
                HttpClientOptions.of(new InetSocketAddress(url.getHost(), port)),
                url.getRawPath(),
                HOST_LIST_INTERVAL_NANOS,
                mRuntime::handleHostList);
    }

    private String scrape() throws InterruptedException {
        return mMetrics.scrape(mRuntime.dump().get("node"));
    }
}
