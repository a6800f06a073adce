package ebonygw.process;

import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.LoaderNode;
import ebonygw.gateway.LoaderOptions;
import ebonygw.gateway.TargetOrder;
import ebonygw.gateway.TargetStatus;
import ebonygw.http.HttpClient;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioWorker;

/**
 * A loader beside a model replica: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class LoaderProcess implements RunningProcess {
    private final XnioWorker mWorker;
    private final NodeRuntime<GatewayEvent> mRuntime;
    private final LoaderNode mNode;
    private final ReplicaCalls mReplica;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final OperatorListener mOperators;
    private final LazyMetrics mMetrics;

    private LoaderProcess(
            LoaderOptions options,
            Member self,
            RuntimeOptions runtime,
            InetSocketAddress operators,
            XnioWorker worker,
            Function<XnioWorker, KeyValueCaller> keyValue,
            Function<XnioWorker, ReplicaCalls> replica) {
        mWorker = worker;
        mReplica = replica.apply(worker);
        mRuntime =
                new NodeRuntime<>(
                        runtime, self, keyValue.apply(worker), new GatewayEvents(), this::handle);
        mMetrics = new LazyMetrics(mRuntime, registry -> {});
        mOperators =
                new OperatorListener(worker, operators, mMetrics::scrape, this::dump, () -> true);
        mNode = new LoaderNode(options);
    }

    /** Calls of the replica beside which a loader runs; both answer exactly once, on any thread. */
    public interface ReplicaCalls {
        /** Sends an order. */
        void order(TargetOrder order, Consumer<TargetOrder.Outcome> outcome);

        /**
         * Reads the replica's report, empty if it cannot be had.
         *
         * @param healthPath path at which it tells its instance, empty if not known yet
         * @param status takes the report
         */
        void report(String healthPath, Consumer<Optional<TargetStatus>> status);
    }

    /**
     * Starts a process.
     *
     * @param options options of its node
     * @param self this process; its address is that of its peer listener
     * @param runtime options of its runtime
     * @param operators where it answers operators
     * @param keyValue makes the client of the key-value service on the process's IO thread
     * @param replica makes the client of the replica on the process's IO thread
     * @return the process
     * @throws IOException if its IO thread cannot be started
     */
    public static LoaderProcess start(
            LoaderOptions options,
            Member self,
            RuntimeOptions runtime,
            InetSocketAddress operators,
            Function<XnioWorker, KeyValueCaller> keyValue,
            Function<XnioWorker, ReplicaCalls> replica)
            throws IOException {
        LoaderProcess process =
                new LoaderProcess(
                        options,
                        self,
                        runtime,
                        operators,
                        HttpClient.worker("io"),
                        keyValue,
                        replica);
        process.mOperators.start();
        process.mRuntime.start(process.mNode::dump);
        LogLine.of("started")
                .with("node", self.id())
                .with("role", "loader")
                .with("replica", options.address())
                .info();
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
            mOperators.close();
            mRuntime.close();
            mWorker.shutdown();
        }
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mRuntime.dump();
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Send send) {
            mRuntime.send(send.to(), send.message());
        } else if (effect instanceof GatewayEffect.KeyValue call) {
            mRuntime.keyValue(call.callId(), call.call());
        } else if (effect instanceof GatewayEffect.Log log) {
            log.line().info();
        } else if (effect instanceof GatewayEffect.ReadReport read) {
            mReplica.report(read.healthPath(), status -> post(new GatewayEvent.StatusRead(status)));
        } else if (effect instanceof GatewayEffect.Order order) {
            mReplica.order(
                    order.order(),
                    outcome -> post(new GatewayEvent.OrderDone(order.order(), outcome)));
        } else if (effect instanceof GatewayEffect.Exit) {
            mRuntime.exit();
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
    }

    private void post(GatewayEvent event) {
        mRuntime.loop().put(event);
    }
}
