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
 * Everything around a node but what it serves: runtime, key-value client, host list, metrics and
 * the operators' listener.
 *
 * <p>Thread-safe.
 *
 * @param <E> type of the node's events
 * @param <F> type of its effects
 */
final class ProcessShell<E, F> implements AutoCloseable {
    private static final long HOST_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int DEFAULT_HTTP_PORT = 80;

    private final KeyValueClient mKeyValue;
    private final ProcessMetrics mMetrics = new ProcessMetrics();
    private final NodeRuntime<E> mRuntime;
    private final HostListClient mHosts;
    private final OperatorListener mOperators;
    private final InetSocketAddress mOperatorAddress;
    private NodeDriver<E, F> mNode;
    private Consumer<F> mEffects;
    private volatile boolean mReady;
    private volatile SettingsView mSettings;

    /**
     * Starts to listen for links.
     *
     * @param settings the settings
     * @param self this process without its incarnation
     * @param events makes the common events
     * @param further handlers of the operators' listener by prefix of the path
     * @throws IOException if a client cannot be created
     */
    ProcessShell(
            CommonSettings settings,
            Member self,
            NodeEvents<E> events,
            Map<String, HttpHandler> further)
            throws IOException {
        mKeyValue = new KeyValueClient(KeyValueClientOptions.of(settings.keyValue()));
        mRuntime =
                new NodeRuntime<>(
                        RuntimeOptions.of(settings), self, mKeyValue::call, events, this::handle);
        mHosts = hosts(settings.hostList());
        mOperatorAddress = settings.operatorAddress();
        mOperators =
                new OperatorListener(
                        mOperatorAddress, this::scrape, mRuntime::dump, this::ready, further);
        mMetrics.watch(mRuntime.loop());
    }

    @Override
    public void close() {
        mHosts.close();
        mRuntime.close();
        mKeyValue.close();
        mOperators.close();
        mMetrics.close();
    }

    /** Returns the metrics. */
    ProcessMetrics metrics() {
        return mMetrics;
    }

    /** Returns the address of the operators' listener. */
    InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    /** Returns whether the node took requests after its last event. */
    boolean ready() {
        return mReady;
    }

    /** Returns the runtime. */
    NodeRuntime<E> runtime() {
        return mRuntime;
    }

    /** Returns the node's settings after its last event. */
    SettingsView settings() {
        return mSettings;
    }

    /**
     * Starts the node.
     *
     * @param node the node
     * @param effects carries out its effects, on the control thread
     * @throws IllegalStateException if the operators' address cannot be listened on
     */
    void start(NodeDriver<E, F> node, Consumer<F> effects) {
        mNode = node;
        mEffects = effects;
        mSettings = node.settings().get();
        mOperators.start();
        mRuntime.start(node.dump());
        mHosts.start();
        LogLine.of("started")
                .with("node", mRuntime.self().id())
                .with("role", mRuntime.self().role())
                .with("incarnation", mRuntime.self().incarnation())
                .with("peer_address", mRuntime.self().address())
                .with("operator_address", operatorAddress())
                .info();
    }

    private void handle(E event, long nowNanos) {
        mNode.handler().handle(event, nowNanos, mEffects);
        mReady = mNode.ready().getAsBoolean();
        mSettings = mNode.settings().get();
    }

    private HostListClient hosts(URI list) throws IOException {
        int port = list.getPort() < 0 ? DEFAULT_HTTP_PORT : list.getPort();
        return new HostListClient(
                HttpClientOptions.of(new InetSocketAddress(list.getHost(), port)),
                list.getRawPath(),
                HOST_LIST_INTERVAL_NANOS,
                mRuntime::hostsListed);
    }

    private String scrape() throws InterruptedException {
        return mMetrics.scrape(mRuntime.dump().get("node"));
    }
}
