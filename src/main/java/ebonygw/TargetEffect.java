package ebonygw;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import java.util.Map;
import java.util.Set;

/** Everything that a {@link TargetNode} can ask of the world. */
public sealed interface TargetEffect {
    /**
     * Sends a request to the target.
     *
     * @param call number of the call, unique in the process
     * @param work the request
     * @param timeoutNanos time left until its deadline
     */
    record Call(long call, Work work, long timeoutNanos) implements TargetEffect {}

    /**
     * Cancels a call at the target; it still ends with an event.
     *
     * @param call the call
     */
    record CancelCall(long call) implements TargetEffect {}

    /**
     * Orders the engine to load an adapter version.
     *
     * @param adapter the adapter version
     * @param fencingToken token of the authority over the target
     */
    record Load(AdapterVersion adapter, long fencingToken) implements TargetEffect {}

    /**
     * Orders the engine to unload an adapter version.
     *
     * @param adapter the adapter version
     * @param fencingToken token of the authority over the target
     */
    record Unload(AdapterVersion adapter, long fencingToken) implements TargetEffect {}

    /** The process may end now, with exit status 0. */
    record Exit() implements TargetEffect {}

    /**
     * Starts a key-value call.
     *
     * @param callId its identifier
     * @param call the call
     */
    record KeyValue(long callId, KeyValueCall call) implements TargetEffect {}

    /**
     * The set of processes to keep links to; replaces the former set.
     *
     * @param members the processes with their addresses
     */
    record Links(Set<Member> members) implements TargetEffect {}

    /**
     * Logs an event.
     *
     * @param event name of the event
     * @param fields its fields in order
     */
    record Log(String event, Map<String, String> fields) implements TargetEffect {}

    /**
     * Pauses or resumes reading an answer from the target.
     *
     * @param call the call
     * @param reading whether to read on
     */
    record ReadAnswer(long call, boolean reading) implements TargetEffect {}

    /**
     * Sends a message to a process; lost silently if no link to it is up.
     *
     * @param to the process
     * @param message the message
     */
    record Send(NodeId to, Message message) implements TargetEffect {}
}
