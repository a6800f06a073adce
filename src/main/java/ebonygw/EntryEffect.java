package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.settings.ChangeOutcome;
import java.util.Map;
import java.util.Set;

/** An output of {@link EntryNode}, carried out by the process that drives it. */
public sealed interface EntryEffect {
    /**
     * Aborts a response that has started, such that the caller can tell it from a complete one.
     *
     * @param exchangeId identifier of the exchange
     * @param refusal the reason
     */
    record ResponseAborted(long exchangeId, Refusal refusal) implements EntryEffect {}

    /**
     * Ends a complete response.
     *
     * @param exchangeId identifier of the exchange
     */
    record ResponseEnded(long exchangeId) implements EntryEffect {}

    /**
     * Sends a part of the response body to the caller.
     *
     * @param exchangeId identifier of the exchange
     * @param data the bytes
     */
    record ResponsePart(long exchangeId, ByteString data) implements EntryEffect {}

    /**
     * Starts a response.
     *
     * @param exchangeId identifier of the exchange
     * @param status HTTP status
     * @param headers header fields with lower-case names
     */
    record ResponseStarted(long exchangeId, int status, Map<String, String> headers)
            implements EntryEffect {}

    /**
     * Reports the outcome of a settings change.
     *
     * @param correlationId correlation id under which the change was submitted
     * @param outcome the outcome
     */
    record ChangeCompleted(long correlationId, ChangeOutcome outcome) implements EntryEffect {}

    /** Ends the process with exit status 0. */
    record Exit() implements EntryEffect {}

    /**
     * Sends a request to the key-value service.
     *
     * @param requestId correlation id of the request
     * @param request the request
     */
    record KeyValue(long requestId, KeyValueRequest request) implements EntryEffect {}

    /**
     * Replaces the set of processes to stay connected to.
     *
     * @param members the processes with their addresses
     */
    record Links(Set<Member> members) implements EntryEffect {}

    /**
     * Logs an event.
     *
     * @param event name of the event
     * @param fields fields of the event, in order
     */
    record Log(String event, Map<String, String> fields) implements EntryEffect {}

    /**
     * Refuses a request whose response has not started.
     *
     * @param exchangeId identifier of the exchange
     * @param refusal the reason
     */
    record Refused(long exchangeId, Refusal refusal) implements EntryEffect {}

    /**
     * Sends a message to a process; dropped silently if there is no connection to it.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(NodeId to, Message message) implements EntryEffect {}
}
