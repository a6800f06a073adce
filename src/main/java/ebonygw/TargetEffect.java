package ebonygw;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import java.util.Map;
import java.util.Set;

/** An output of {@link TargetNode}, carried out by the process that drives it. */
public sealed interface TargetEffect {
    /**
     * Sends a request to the target.
     *
     * @param correlationId correlation id of the request, unique within the process
     * @param work the attempt to run
     * @param timeoutNanos time left until its deadline
     */
    record SendRequest(long correlationId, Work work, long timeoutNanos) implements TargetEffect {}

    /**
     * Cancels a request at the target; an event still reports its end.
     *
     * @param correlationId correlation id of the request
     */
    record CancelRequest(long correlationId) implements TargetEffect {}

    /**
     * Orders the engine to load an adapter version.
     *
     * @param adapter the adapter version
     * @param fencingToken fencing token of this process's authority over the target
     */
    record Load(AdapterVersion adapter, long fencingToken) implements TargetEffect {}

    /**
     * Orders the engine to unload an adapter version.
     *
     * @param adapter the adapter version
     * @param fencingToken fencing token of this process's authority over the target
     */
    record Unload(AdapterVersion adapter, long fencingToken) implements TargetEffect {}

    /** Ends the process with exit status 0. */
    record Exit() implements TargetEffect {}

    /**
     * Sends a request to the key-value service.
     *
     * @param requestId correlation id of the request
     * @param request the request
     */
    record KeyValue(long requestId, KeyValueRequest request) implements TargetEffect {}

    /**
     * Replaces the set of processes to stay connected to.
     *
     * @param members the processes with their addresses
     */
    record Links(Set<Member> members) implements TargetEffect {}

    /**
     * Logs an event.
     *
     * @param event name of the event
     * @param fields fields of the event, in order
     */
    record Log(String event, Map<String, String> fields) implements TargetEffect {}

    /**
     * Pauses or resumes reading a response from the target.
     *
     * @param correlationId correlation id of the request
     * @param reading true to resume, false to pause
     */
    record SetResponseReading(long correlationId, boolean reading) implements TargetEffect {}

    /**
     * Sends a message to a process; dropped silently if there is no connection to it.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(NodeId to, Message message) implements TargetEffect {}
}
