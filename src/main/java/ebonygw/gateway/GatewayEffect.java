package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import java.util.Set;

/** What a {@link GatewayNode} or {@link LoaderNode} wants done. */
public sealed interface GatewayEffect {
    /**
     * Sends an attempt of a request to a target.
     *
     * @param exchange the exchange
     * @param request the request
     * @param terms what the attempt adds
     */
    record Attempt(long exchange, GatewayRequest request, AttemptTerms terms)
            implements GatewayEffect {}

    /**
     * Cancels the present attempt of a request whose caller left.
     *
     * @param exchange the exchange
     */
    record Cancel(long exchange) implements GatewayEffect {}

    /**
     * A request has ended; for metrics.
     *
     * @param kind kind of its route
     * @param outcome what became of it
     * @param startNanos time to the first byte of the answer, below 0 without one
     * @param totalNanos time to its end
     */
    record Ended(RequestKind kind, String outcome, long startNanos, long totalNanos)
            implements GatewayEffect {}

    /** The process may end now, with exit status 0. */
    record Exit() implements GatewayEffect {}

    /**
     * Starts a key-value call.
     *
     * @param callId its identifier
     * @param call the call
     */
    record KeyValue(long callId, KeyValueCall call) implements GatewayEffect {}

    /**
     * The set of processes to keep links to; replaces the former set.
     *
     * @param members the processes with their addresses
     */
    record Links(Set<Member> members) implements GatewayEffect {}

    /**
     * Writes a line to the log.
     *
     * @param line the line
     */
    record Log(LogLine line) implements GatewayEffect {}

    /**
     * Sends an order to the loader's own target.
     *
     * @param order the order
     */
    record Order(TargetOrder order) implements GatewayEffect {}

    /**
     * Reads the report of the loader's own target.
     *
     * @param healthPath path at which the target tells its instance, empty if not known yet
     */
    record ReadReport(String healthPath) implements GatewayEffect {}

    /**
     * Refuses a request, or breaks its answer off if that has started.
     *
     * @param exchange the exchange
     * @param refusal why
     */
    record Refused(long exchange, Refusal refusal) implements GatewayEffect {}

    /**
     * Passes on the failure that the last attempt's target answered and that was held back.
     *
     * @param exchange the exchange
     */
    record Relay(long exchange) implements GatewayEffect {}

    /**
     * Sends a message to a process; lost silently if no link to it is up.
     *
     * @param to the process
     * @param message the message
     */
    record Send(NodeId to, Message message) implements GatewayEffect {}
}
