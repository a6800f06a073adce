package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
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
     * @param exchange identifier of the exchange
     * @param refusal the reason
     */
    record AnswerBroken(long exchange, Refusal refusal) implements EntryEffect {}

    /**
     * Ends a complete response.
     *
     * @param exchange identifier of the exchange
     */
    record AnswerEnded(long exchange) implements EntryEffect {}

    /**
     * Sends a part of the response body to the caller.
     *
     * @param exchange identifier of the exchange
     * @param data the bytes
     */
    record AnswerPart(long exchange, ByteString data) implements EntryEffect {}

    /**
     * Starts a response.
     *
     * @param exchange identifier of the exchange
     * @param status HTTP status
     * @param headers header fields with lower-case names
     */
    record AnswerStarted(long exchange, int status, Map<String, String> headers)
            implements EntryEffect {}

    /**
     * Reports the outcome of a settings change.
     *
     * @param ticket correlation id under which the change was submitted
     * @param outcome the outcome
     */
    record ChangeSettled(long ticket, ChangeOutcome outcome) implements EntryEffect {}

    /** Ends the process with exit status 0. */
    record Exit() implements EntryEffect {}

    /**
     * Sends a request to the key-value service.
     *
     * @param callId correlation id of the request
     * @param call the request
     */
    record KeyValue(long callId, KeyValueCall call) implements EntryEffect {}

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
     * @param exchange identifier of the exchange
     * @param refusal the reason
     */
    record Refused(long exchange, Refusal refusal) implements EntryEffect {}

    /**
     * Sends a message to a process; dropped silently if there is no connection to it.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(NodeId to, Message message) implements EntryEffect {}
}
