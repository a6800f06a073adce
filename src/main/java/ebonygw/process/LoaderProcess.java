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
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioWorker;

/**
 * A loader beside a model replica: its node with the transports around it.
 *
 * <p>Thread-safe.
 */
public final class LoaderProcess implements RunningProcess {
    private final GatewayShell mShell;
    private final LoaderNode mNode;
    private final ReplicaCalls mReplica;

    private LoaderProcess(
            LoaderOptions options,
            Member self,
            GatewayRuntimeOptions common,
            XnioWorker worker,
            Function<XnioWorker, ReplicaCalls> replica) {
        mReplica = replica.apply(worker);
        mShell = new GatewayShell(common, self, worker, this::handle, registry -> {}, () -> true);
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
     * @param common options of what surrounds its node
     * @param replica makes the client of the replica on the process's IO thread
     * @return the process
     * @throws IOException if its IO thread cannot be started
     * @throws IllegalStateException if an address cannot be listened on
     */
    public static LoaderProcess start(
            LoaderOptions options,
            Member self,
            GatewayRuntimeOptions common,
            Function<XnioWorker, ReplicaCalls> replica)
            throws IOException {
        LoaderProcess process =
                new LoaderProcess(options, self, common, HttpClient.worker("io"), replica);
        process.mShell.start(process.mNode::dump);
        LogLine.of("started")
                .with("node", self.id())
                .with("role", "loader")
                .with("replica", options.address())
                .info();
        return process;
    }

    @Override
    public void askStop() {
        mShell.runtime().askStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mShell.runtime().awaitExit(timeoutNanos);
    }

    @Override
    public void close() {
        mShell.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mShell.runtime().dump();
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.ReadReport read) {
            mReplica.report(read.healthPath(), status -> post(new GatewayEvent.StatusRead(status)));
        } else if (effect instanceof GatewayEffect.Order order) {
            mReplica.order(
                    order.order(),
                    outcome -> post(new GatewayEvent.OrderDone(order.order(), outcome)));
        } else {
            mShell.apply(effect);
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
    }

    private void post(GatewayEvent event) {
        mShell.runtime().loop().put(event);
    }
}
