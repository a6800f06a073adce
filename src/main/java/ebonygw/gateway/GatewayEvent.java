package ebonygw.gateway;

import ebonygw.http.BodySummary;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.targetlimit.NamedLimit;
import java.util.Optional;

/**
 * Events that a {@link GatewayNode} or {@link LoaderNode} handles.
 *
 * <p>An {@code exchange} identifies the exchange with the caller, an {@code attempt} the attempt by
 * its ordinal, 1 for the first.
 */
public sealed interface GatewayEvent {
    /**
     * The response of a target has started and is being passed on to the caller.
     *
     * @param status HTTP status
     * @param load load that the target reported with the response
     * @param limit limit that the target named with the response
     */
    record ResponseStarted(
            long exchange, int attempt, int status, Optional<TargetLoad> load, NamedLimit limit)
            implements GatewayEvent {
        /** Creates the start of a response that names no limit. */
        public ResponseStarted(long exchange, int attempt, int status, Optional<TargetLoad> load) {
            this(exchange, attempt, status, load, NamedLimit.NONE);
        }
    }

    /**
     * A response that was passed on to the caller is complete.
     *
     * @param body framing and length of its body
     */
    record ResponseEnded(long exchange, int attempt, BodySummary body) implements GatewayEvent {}

    /**
     * The target responded with a failure or a rejection, which is held back from the caller.
     *
     * @param status HTTP status
     * @param run whether the request may have run
     * @param load load that the target reported with the response
     * @param limit limit that the target named with the response
     */
    record ResponseHeld(
            long exchange,
            int attempt,
            int status,
            boolean run,
            Optional<TargetLoad> load,
            NamedLimit limit)
            implements GatewayEvent {
        /** Creates a response that names no limit. */
        public ResponseHeld(
                long exchange, int attempt, int status, boolean run, Optional<TargetLoad> load) {
            this(exchange, attempt, status, run, load, NamedLimit.NONE);
        }
    }

    /**
     * An attempt ended without a complete response.
     *
     * @param mayHaveRun whether a byte of the request may have reached the target
     * @param started whether a part of the response has been passed on to the caller; the response
     *     is aborted then
     * @param deadlineExceeded whether it is past its deadline
     * @param withdrawn whether it was taken back before it was sent, see {@link
     *     GatewayEffect.WithdrawWaiting}
     * @param detail human-readable cause
     */
    record AttemptFailed(
            long exchange,
            int attempt,
            boolean mayHaveRun,
            boolean started,
            boolean deadlineExceeded,
            boolean withdrawn,
            String detail)
            implements GatewayEvent {}

    /**
     * The head of a response has a notice of its target; precedes the other events of the response.
     */
    record TargetNoticed(long exchange, int attempt, TargetNotice notice) implements GatewayEvent {}

    /** A request of a caller has been received. */
    record RequestReceived(long exchange, GatewayRequest request) implements GatewayEvent {}

    /** A caller disconnected before the end of its response. */
    record CallerDisconnected(long exchange) implements GatewayEvent {}

    /**
     * A response of the key-value service has been received.
     *
     * @param requestId correlation id of the request
     */
    record KeyValueResponseReceived(long requestId, KeyValueResponse response)
            implements GatewayEvent {}

    /** An order to the loader's replica has ended. */
    record OrderDone(TargetOrder order, TargetOrder.Outcome outcome) implements GatewayEvent {}

    /** The connection to a process is lost. */
    record PeerDown(NodeId peer, long incarnation) implements GatewayEvent {}

    /** A message of another process has been received. */
    record PeerMessageReceived(NodeId peer, long incarnation, Message message)
            implements GatewayEvent {}

    /** A connection to a process is established. */
    record PeerUp(NodeId peer, long incarnation) implements GatewayEvent {}

    /**
     * Reading the status of the loader's replica has ended.
     *
     * @param status the status, empty if it could not be read
     */
    record StatusRead(Optional<TargetStatus> status) implements GatewayEvent {}

    /** A graceful stop of the process was requested. */
    record StopRequested() implements GatewayEvent {}

    /** Periodic event that drives time-outs and retries. */
    record Tick() implements GatewayEvent {}
}
