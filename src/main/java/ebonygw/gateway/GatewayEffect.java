package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import java.util.Set;

/** Effects that the process of a {@link GatewayNode} or {@link LoaderNode} has to carry out. */
public sealed interface GatewayEffect {
    /**
     * Sends an attempt of a request to a target.
     *
     * @param exchange identifier of the exchange with the caller
     * @param terms parameters of the attempt, its target included
     */
    record Attempt(long exchange, GatewayRequest request, AttemptTerms terms)
            implements GatewayEffect {}

    /** Cancels the current attempt of a request whose caller has disconnected. */
    record Cancel(long exchange) implements GatewayEffect {}

    /**
     * Records the end of a request in the metrics.
     *
     * @param kind kind of its route
     * @param outcome {@code "served"}, or why it was not served
     * @param startNanos time to the start of the response, negative without one
     * @param totalNanos time to the end of the request
     */
    record Ended(RequestKind kind, String outcome, long startNanos, long totalNanos)
            implements GatewayEffect {}

    /**
     * Take back the attempts at a target that still wait for a connection; each ends as withdrawn.
     *
     * @param address IP address and port of the target
     */
    record WithdrawWaiting(String address) implements GatewayEffect {}

    /** Ends the process with exit status 0. */
    record Exit() implements GatewayEffect {}

    /**
     * Sends a request to the key-value service.
     *
     * @param requestId correlation id of the response
     */
    record KeyValue(long requestId, KeyValueRequest request) implements GatewayEffect {}

    /**
     * Sets the processes to keep connections to.
     *
     * @param members all of these processes; replaces the former set
     */
    record Links(Set<Member> members) implements GatewayEffect {}

    /** Writes a line to the log. */
    record Log(LogLine line) implements GatewayEffect {}

    /** Sends an order to the loader's own replica. */
    record Order(TargetOrder order) implements GatewayEffect {}

    /**
     * Reads the status of the loader's own replica.
     *
     * @param healthPath path at which the replica reports its instance, empty if not known yet
     */
    record ReadStatus(String healthPath) implements GatewayEffect {}

    /** Refuses a request, or aborts its response if that has started. */
    record Refused(long exchange, Refusal refusal) implements GatewayEffect {}

    /** Relays the failure response of the last attempt, which was held back, to the caller. */
    record RelayHeldResponse(long exchange) implements GatewayEffect {}

    /** Sends a message to a process; drops it silently if that process is not connected. */
    record Send(NodeId to, Message message) implements GatewayEffect {}
}
