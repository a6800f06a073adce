package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import java.util.List;
import java.util.Map;

/** An input of {@link TargetNode}. */
public sealed interface TargetEvent {
    /**
     * A response of the target is complete.
     *
     * @param correlationId correlation id of the request
     * @param tokensUsed tokens used by prompt and completion, -1 if not known
     */
    record ResponseEnded(long correlationId, long tokensUsed) implements TargetEvent {}

    /**
     * A request to the target ended without a complete response.
     *
     * @param correlationId correlation id of the request
     * @param refusal the reason; its verdict is {@code NOT_RUN} only if nothing was sent
     */
    record RequestFailed(long correlationId, Refusal refusal) implements TargetEvent {}

    /**
     * The target sent a part of a response body.
     *
     * @param correlationId correlation id of the request
     * @param data the bytes
     */
    record ResponsePart(long correlationId, ByteString data) implements TargetEvent {}

    /**
     * The target started a response.
     *
     * @param correlationId correlation id of the request
     * @param status HTTP status
     * @param headers header fields with lower-case names
     */
    record ResponseStarted(long correlationId, int status, Map<String, String> headers)
            implements TargetEvent {}

    /**
     * The engine reported its load; the values may be out of date on arrival.
     *
     * @param running number of requests running
     * @param queued number of requests queued inside the engine
     * @param slots number of adapter slots
     * @param maxBatch maximum number of requests that the engine runs concurrently
     * @param resident adapter versions loaded
     * @param startedAtNanos start time of the engine; a new value means that it has restarted
     */
    record EngineReported(
            int running,
            int queued,
            int slots,
            int maxBatch,
            List<AdapterVersion> resident,
            long startedAtNanos)
            implements TargetEvent {
        /** Creates the event. */
        public EngineReported {
            resident = List.copyOf(resident);
        }
    }

    /** The engine or service cannot be reached. */
    record EngineUnreachable() implements TargetEvent {}

    /**
     * A new host list was read from the platform.
     *
     * @param hosts the list
     */
    record HostListReceived(HostList hosts) implements TargetEvent {}

    /**
     * A response came from the key-value service.
     *
     * @param requestId correlation id of the request
     * @param response the response
     */
    record KeyValueResponseReceived(long requestId, KeyValueResponse response)
            implements TargetEvent {}

    /**
     * An order to load or unload an adapter version was carried out or failed.
     *
     * @param adapter the adapter version
     * @param load true for a load order, false for an unload order
     * @param succeeded whether the engine carried it out
     * @param detail the reason if it failed, for logs
     */
    record OrderDone(AdapterVersion adapter, boolean load, boolean succeeded, String detail)
            implements TargetEvent {}

    /**
     * The connection to a process was lost.
     *
     * @param peer the process
     * @param incarnation incarnation of the process on that connection
     */
    record PeerDown(NodeId peer, long incarnation) implements TargetEvent {}

    /**
     * A message came from a process.
     *
     * @param peer the sender
     * @param incarnation incarnation of the sender on that connection
     * @param message the message
     */
    record PeerMessageReceived(NodeId peer, long incarnation, Message message)
            implements TargetEvent {}

    /**
     * A connection to a process is up.
     *
     * @param peer the process
     * @param incarnation incarnation of the process
     */
    record PeerUp(NodeId peer, long incarnation) implements TargetEvent {}

    /** A graceful stop of the process was requested. */
    record StopRequested() implements TargetEvent {}

    /** Advances time; must occur at least every 10 ms. */
    record Tick() implements TargetEvent {}
}
