package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.Optional;

/** What happens to a {@link GatewayNode} or {@link LoaderNode}. */
public sealed interface GatewayEvent {
    /**
     * An answer is being passed on to its caller.
     *
     * @param exchange the exchange
     * @param attempt the attempt
     * @param status its HTTP status
     * @param load load that the target told with it
     */
    record AnswerStarted(long exchange, int attempt, int status, Optional<TargetLoad> load)
            implements GatewayEvent {}

    /**
     * An answer that was passed on is whole.
     *
     * @param exchange the exchange
     * @param attempt the attempt
     */
    record AnswerEnded(long exchange, int attempt) implements GatewayEvent {}

    /**
     * The target answered with a failure of its own, which is held back.
     *
     * @param exchange the exchange
     * @param attempt the attempt
     * @param status its HTTP status
     * @param run whether the request may have run
     * @param load load that the target told with it
     */
    record AnswerHeld(
            long exchange, int attempt, int status, boolean run, Optional<TargetLoad> load)
            implements GatewayEvent {}

    /**
     * An attempt got no whole answer.
     *
     * @param exchange the exchange
     * @param attempt the attempt
     * @param mayHaveRun whether a byte of it may have reached the target
     * @param started whether a part of the answer has reached the caller, which is broken off then
     * @param late whether its time was up
     * @param detail text for people
     */
    record AttemptFailed(
            long exchange,
            int attempt,
            boolean mayHaveRun,
            boolean started,
            boolean late,
            String detail)
            implements GatewayEvent {}

    /**
     * A caller asks.
     *
     * @param exchange number of the exchange
     * @param request the request
     */
    record CallerAsked(long exchange, GatewayRequest request) implements GatewayEvent {}

    /**
     * A caller left before the end of its answer.
     *
     * @param exchange the exchange
     */
    record CallerGone(long exchange) implements GatewayEvent {}

    /**
     * A reply of the key-value service.
     *
     * @param callId the call
     * @param reply the reply
     */
    record KeyValueReplied(long callId, KeyValueReply reply) implements GatewayEvent {}

    /**
     * What became of an order.
     *
     * @param order the order
     * @param outcome the outcome
     */
    record OrderDone(TargetOrder order, TargetOrder.Outcome outcome) implements GatewayEvent {}

    /**
     * A link is lost.
     *
     * @param peer the process
     * @param incarnation its incarnation
     */
    record PeerDown(NodeId peer, long incarnation) implements GatewayEvent {}

    /**
     * A message came.
     *
     * @param peer the process
     * @param incarnation its incarnation
     * @param message the message
     */
    record PeerSaid(NodeId peer, long incarnation, Message message) implements GatewayEvent {}

    /**
     * A link is up.
     *
     * @param peer the process
     * @param incarnation its incarnation
     */
    record PeerUp(NodeId peer, long incarnation) implements GatewayEvent {}

    /**
     * The target's report was read, or could not be.
     *
     * @param status the report, empty if none came
     */
    record StatusRead(Optional<TargetStatus> status) implements GatewayEvent {}

    /** The process is asked to stop. */
    record StopAsked() implements GatewayEvent {}

    /** Time has passed. */
    record Tick() implements GatewayEvent {}
}
