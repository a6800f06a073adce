package ebonygw.process;

import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.GatewayEvent;
import ebonygw.membership.Member;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.XnioWorker;

/**
 * The parts around the node of a direct gateway that entries and loaders share: IO thread, runtime,
 * metrics and operator listener.
 *
 * <p>Thread-safe.
 */
final class GatewayInfrastructure implements AutoCloseable {
    private final XnioWorker mWorker;
    private final NodeRuntime<GatewayEvent> mRuntime;
    private final OperatorListener mOperators;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /**
     * Starts to listen for peer connections.
     *
     * @param common options that entries and loaders share
     * @param self this process; its address is the one to listen on for peers
     * @param worker the IO thread, which is shut down by {@link #close}
     * @param handler handles each event on the control thread
     * @param metrics registers additional metrics, called before each read
     * @param ready readiness reported to operators
     */
    GatewayInfrastructure(
            GatewayRuntimeOptions common,
            Member self,
            XnioWorker worker,
            ControlLoop.Handler<GatewayEvent> handler,
            Consumer<MeterRegistry> metrics,
            BooleanSupplier ready) {
        mWorker = worker;
        mRuntime =
                new NodeRuntime<>(
                        common.runtime(),
                        self,
                        common.keyValue().apply(worker),
                        new GatewayEventFactory(),
                        handler);
        mOperators =
                new OperatorListener(
                        worker,
                        common.operators(),
                        new LazyMetrics(mRuntime, metrics)::scrape,
                        mRuntime::dump,
                        ready);
    }

    /**
     * Executes an effect if it is one that entries and loaders share.
     *
     * @return whether the effect was executed
     */
    boolean apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof GatewayEffect.KeyValue keyValue) {
            mRuntime.sendKeyValueRequest(keyValue.requestId(), keyValue.request());
        } else if (effect instanceof GatewayEffect.Links links) {
            mRuntime.maintainConnections(links.members());
        } else if (effect instanceof GatewayEffect.Log log) {
            log.line().info();
        } else if (effect instanceof GatewayEffect.Exit) {
            mRuntime.exit();
        } else {
            return false;
        }
        return true;
    }

    /** Closes listeners, peer connections and threads; idempotent. */
    @Override
    public void close() {
        if (mClosed.compareAndSet(false, true)) {
            mOperators.close();
            mRuntime.close();
            mWorker.shutdown();
        }
    }

    /** Returns the address that the operator listener is bound to, once started. */
    InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    NodeRuntime<GatewayEvent> runtime() {
        return mRuntime;
    }

    /**
     * Starts the operator listener, then the control thread.
     *
     * @param dump returns the state of the node, called on the control thread
     * @throws IllegalStateException if the operator address cannot be bound
     */
    void start(Supplier<Map<String, Object>> dump) {
        mOperators.start();
        mRuntime.start(dump);
    }
}
