package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import java.util.List;
import java.util.Map;

/** Everything that can happen to a {@link TargetNode}. */
public sealed interface TargetEvent {
    /**
     * The target ended an answer; it is whole.
     *
     * @param call the call
     * @param tokensUsed tokens used by prompt and answer, -1 if not known
     */
    record AnswerEnded(long call, long tokensUsed) implements TargetEvent {}

    /**
     * The target gave no whole answer.
     *
     * @param call the call
     * @param refusal why; its verdict is {@code NOT_RUN} only if nothing was sent
     */
    record AnswerFailed(long call, Refusal refusal) implements TargetEvent {}

    /**
     * The target sent a part of an answer.
     *
     * @param call the call
     * @param data the bytes
     */
    record AnswerPart(long call, ByteString data) implements TargetEvent {}

    /**
     * The target started an answer.
     *
     * @param call the call
     * @param status HTTP status
     * @param headers header fields, names in lower case
     */
    record AnswerStarted(long call, int status, Map<String, String> headers)
            implements TargetEvent {}

    /**
     * The engine reported its load, with a lag.
     *
     * @param running requests running
     * @param queued requests queued inside the engine
     * @param slots adapter slots
     * @param maxBatch most requests that it runs together
     * @param resident adapter versions loaded
     * @param startedAtNanos when the engine started, to recognise a restart
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
    record HostsListed(HostList hosts) implements TargetEvent {}

    /**
     * The key-value service answered a call.
     *
     * @param callId identifier of the call
     * @param reply the answer
     */
    record KeyValueReplied(long callId, KeyValueReply reply) implements TargetEvent {}

    /**
     * The engine carried out, or refused, an order to load or unload an adapter version.
     *
     * @param adapter the adapter version
     * @param load whether the order was to load it
     * @param succeeded whether it was carried out
     * @param detail text for people if it was not
     */
    record OrderDone(AdapterVersion adapter, boolean load, boolean succeeded, String detail)
            implements TargetEvent {}

    /**
     * A link to a process is lost.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     */
    record PeerDown(NodeId peer, long incarnation) implements TargetEvent {}

    /**
     * A message came from a process.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     * @param message the message
     */
    record PeerSaid(NodeId peer, long incarnation, Message message) implements TargetEvent {}

    /**
     * A link to a process is up.
     *
     * @param peer the process
     * @param incarnation its incarnation
     */
    record PeerUp(NodeId peer, long incarnation) implements TargetEvent {}

    /** The process was asked to stop gracefully. */
    record StopAsked() implements TargetEvent {}

    /** Time has passed; due at least every 10 milliseconds. */
    record Tick() implements TargetEvent {}
}
