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

/** Everything that an {@link EntryNode} can ask of the world. */
public sealed interface EntryEffect {
    /**
     * Breaks an answer off after its start, so that the caller can tell it from an end.
     *
     * @param exchange the exchange
     * @param refusal why
     */
    record AnswerBroken(long exchange, Refusal refusal) implements EntryEffect {}

    /**
     * Ends an answer; it is whole.
     *
     * @param exchange the exchange
     */
    record AnswerEnded(long exchange) implements EntryEffect {}

    /**
     * Sends a part of an answer to its caller.
     *
     * @param exchange the exchange
     * @param data the bytes
     */
    record AnswerPart(long exchange, ByteString data) implements EntryEffect {}

    /**
     * Starts an answer.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param headers header fields, names in lower case
     */
    record AnswerStarted(long exchange, int status, Map<String, String> headers)
            implements EntryEffect {}

    /**
     * Tells what became of a change of the settings.
     *
     * @param ticket number under which it was submitted
     * @param outcome the outcome
     */
    record ChangeSettled(long ticket, ChangeOutcome outcome) implements EntryEffect {}

    /** The process may end now, with exit status 0. */
    record Exit() implements EntryEffect {}

    /**
     * Starts a key-value call.
     *
     * @param callId its identifier
     * @param call the call
     */
    record KeyValue(long callId, KeyValueCall call) implements EntryEffect {}

    /**
     * The set of processes to keep links to; replaces the former set.
     *
     * @param members the processes with their addresses
     */
    record Links(Set<Member> members) implements EntryEffect {}

    /**
     * Logs an event.
     *
     * @param event name of the event
     * @param fields its fields in order
     */
    record Log(String event, Map<String, String> fields) implements EntryEffect {}

    /**
     * Refuses a request before its answer has started.
     *
     * @param exchange the exchange
     * @param refusal why
     */
    record Refused(long exchange, Refusal refusal) implements EntryEffect {}

    /**
     * Sends a message to a process; lost silently if no link to it is up.
     *
     * @param to the process
     * @param message the message
     */
    record Send(NodeId to, Message message) implements EntryEffect {}
}
