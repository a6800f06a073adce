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
 * Everything around a direct gateway's node but what it serves or calls: the IO thread, the
 * runtime, metrics and the operators' listener.
 *
 * <p>Thread-safe.
 */
final class GatewayShell implements AutoCloseable {
    private final XnioWorker mWorker;
    private final NodeRuntime<GatewayEvent> mRuntime;
    private final OperatorListener mOperators;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /**
     * Starts to listen for links.
     *
     * @param common what entries and loaders are started with
     * @param self this process; its address is that of its peer listener
     * @param worker the IO thread, which is closed with this shell
     * @param handler handles each event on the control thread
     * @param metrics registers what has been measured besides, before each reading
     * @param ready whether operators are told that the process is ready
     */
    GatewayShell(
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
                        new GatewayEvents(),
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
     * Carries out an effect that all direct gateways have in common.
     *
     * @return whether it was one of those
     */
    boolean apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof GatewayEffect.KeyValue call) {
            mRuntime.keyValue(call.callId(), call.call());
        } else if (effect instanceof GatewayEffect.Links links) {
            mRuntime.links(links.members());
        } else if (effect instanceof GatewayEffect.Log log) {
            log.line().info();
        } else if (effect instanceof GatewayEffect.Exit) {
            mRuntime.exit();
        } else {
            return false;
        }
        return true;
    }

    /** Closes listeners, links and threads; idempotent. */
    @Override
    public void close() {
        if (mClosed.compareAndSet(false, true)) {
            mOperators.close();
            mRuntime.close();
            mWorker.shutdown();
        }
    }

    /** Returns the address on which the process answers operators. */
    InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    /** Returns the runtime. */
    NodeRuntime<GatewayEvent> runtime() {
        return mRuntime;
    }

    /**
     * Starts to answer operators, then the control thread.
     *
     * @param dump reads the node's state, called on the control thread
     * @throws IllegalStateException if the operators' address cannot be listened on
     */
    void start(Supplier<Map<String, Object>> dump) {
        mOperators.start();
        mRuntime.start(dump);
    }
}
