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
 * A loader on the host of a model replica: runs a loader node and connects it to the replica,
 * peers, the key-value service and operators.
 *
 * <p>Thread-safe.
 */
public final class LoaderProcess implements RunningProcess {
    private final GatewayInfrastructure mInfrastructure;
    private final LoaderNode mNode;
    private final ReplicaConnector mReplica;

    private LoaderProcess(
            LoaderOptions options,
            Member self,
            GatewayRuntimeOptions common,
            XnioWorker worker,
            Function<XnioWorker, ReplicaConnector> replica) {
        mReplica = replica.apply(worker);
        mInfrastructure =
                new GatewayInfrastructure(
                        common, self, worker, this::handle, registry -> {}, () -> true);
        mNode = new LoaderNode(options);
    }

    /** Requests to the replica of a loader; each calls back exactly once, on any thread. */
    public interface ReplicaConnector {
        /** Sends an order to load or unload a model or adapter. */
        void sendOrder(TargetOrder order, Consumer<TargetOrder.Outcome> outcome);

        /**
         * Reads the status of the replica.
         *
         * @param healthPath path under which the replica reports its instance, empty if not known
         *     yet
         * @param status receives the status, empty if it cannot be read
         */
        void readStatus(String healthPath, Consumer<Optional<TargetStatus>> status);
    }

    /**
     * Starts a process.
     *
     * @param options options of the node
     * @param self this process; its address is the one to listen on for peers
     * @param common options that entries and loaders share
     * @param replica creates the client of the replica on the IO thread of the process
     * @return the process, listening on its addresses
     * @throws IOException if the IO thread cannot be started
     * @throws IllegalStateException if an address cannot be bound
     */
    public static LoaderProcess start(
            LoaderOptions options,
            Member self,
            GatewayRuntimeOptions common,
            Function<XnioWorker, ReplicaConnector> replica)
            throws IOException {
        LoaderProcess process =
                new LoaderProcess(options, self, common, HttpClient.createWorker("io"), replica);
        process.mInfrastructure.start(process.mNode::dump);
        LogLine.of("started")
                .with("node", self.id())
                .with("role", "loader")
                .with("replica", options.address())
                .info();
        return process;
    }

    @Override
    public void requestStop() {
        mInfrastructure.runtime().requestStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        return mInfrastructure.runtime().awaitExit(timeoutNanos);
    }

    @Override
    public void close() {
        mInfrastructure.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        return mInfrastructure.runtime().dump();
    }

    private void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.ReadStatus read) {
            mReplica.readStatus(
                    read.healthPath(), status -> post(new GatewayEvent.StatusRead(status)));
        } else if (effect instanceof GatewayEffect.Order order) {
            mReplica.sendOrder(
                    order.order(),
                    outcome -> post(new GatewayEvent.OrderDone(order.order(), outcome)));
        } else {
            mInfrastructure.apply(effect);
        }
    }

    private void handle(GatewayEvent event, long nowNanos) {
        mNode.handle(event, nowNanos, this::apply);
    }

    private void post(GatewayEvent event) {
        mInfrastructure.runtime().loop().put(event);
    }
}
