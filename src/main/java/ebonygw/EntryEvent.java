package ebonygw;

import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.CallerRequest;
import ebonygw.settings.SettingsChange;

/** An input of {@link EntryNode}. */
public sealed interface EntryEvent {
    /**
     * A caller's request was received completely.
     *
     * @param exchangeId identifier of the exchange, unique within the process
     * @param request the request
     */
    record RequestReceived(long exchangeId, CallerRequest request) implements EntryEvent {}

    /**
     * A caller's connection closed before its response had ended.
     *
     * @param exchangeId identifier of the exchange
     */
    record CallerDisconnected(long exchangeId) implements EntryEvent {}

    /**
     * Response parts were written to the caller, which frees credit for as many further parts.
     *
     * @param exchangeId identifier of the exchange
     * @param parts number of parts
     */
    record ResponsePartsConsumed(long exchangeId, int parts) implements EntryEvent {}

    /**
     * An operator submitted a change of the settings.
     *
     * @param correlationId correlation id that its outcome will carry, unique within the process
     * @param change the change
     */
    record ChangeSubmitted(long correlationId, SettingsChange change) implements EntryEvent {}

    /**
     * A new host list was read from the platform.
     *
     * @param hosts the list
     */
    record HostListReceived(HostList hosts) implements EntryEvent {}

    /**
     * A response came from the key-value service.
     *
     * @param requestId correlation id of the request
     * @param response the response
     */
    record KeyValueResponseReceived(long requestId, KeyValueResponse response)
            implements EntryEvent {}

    /**
     * The connection to a process was lost.
     *
     * @param peer the process
     * @param incarnation incarnation of the process on that connection
     */
    record PeerDown(NodeId peer, long incarnation) implements EntryEvent {}

    /**
     * A message came from a process.
     *
     * @param peer the sender
     * @param incarnation incarnation of the sender on that connection
     * @param message the message
     */
    record PeerMessageReceived(NodeId peer, long incarnation, Message message)
            implements EntryEvent {}

    /**
     * A connection to a process is up; the connection layer has checked its hello message.
     *
     * @param peer the process
     * @param incarnation incarnation of the process
     */
    record PeerUp(NodeId peer, long incarnation) implements EntryEvent {}

    /** A graceful stop of the process was requested. */
    record StopRequested() implements EntryEvent {}

    /** Advances time; must occur at least every 10 ms. */
    record Tick() implements EntryEvent {}
}
