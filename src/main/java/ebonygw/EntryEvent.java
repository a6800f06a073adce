package ebonygw;

import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.CallerRequest;
import ebonygw.settings.SettingsChange;

/** Everything that can happen to an {@link EntryNode}. */
public sealed interface EntryEvent {
    /**
     * A caller sent a whole request.
     *
     * @param exchange number of the exchange, unique in the process
     * @param request what the caller asks for
     */
    record CallerAsked(long exchange, CallerRequest request) implements EntryEvent {}

    /**
     * A caller's connection ended before its answer did.
     *
     * @param exchange the exchange
     */
    record CallerGone(long exchange) implements EntryEvent {}

    /**
     * A caller took parts of its answer off our hands.
     *
     * @param exchange the exchange
     * @param parts how many parts
     */
    record CallerTook(long exchange, int parts) implements EntryEvent {}

    /**
     * An operator submitted a change of the settings.
     *
     * @param ticket number that its outcome will carry, unique in the process
     * @param change the change
     */
    record ChangeSubmitted(long ticket, SettingsChange change) implements EntryEvent {}

    /**
     * A new host list was read from the platform.
     *
     * @param hosts the list
     */
    record HostsListed(HostList hosts) implements EntryEvent {}

    /**
     * The key-value service answered a call.
     *
     * @param callId identifier of the call
     * @param reply the answer
     */
    record KeyValueReplied(long callId, KeyValueReply reply) implements EntryEvent {}

    /**
     * A link to a process is lost.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     */
    record PeerDown(NodeId peer, long incarnation) implements EntryEvent {}

    /**
     * A message came from a process.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     * @param message the message
     */
    record PeerSaid(NodeId peer, long incarnation, Message message) implements EntryEvent {}

    /**
     * A link to a process is up; its hello has been checked by the link's layer.
     *
     * @param peer the process
     * @param incarnation its incarnation
     */
    record PeerUp(NodeId peer, long incarnation) implements EntryEvent {}

    /** The process was asked to stop gracefully. */
    record StopAsked() implements EntryEvent {}

    /** Time has passed; due at least every 10 milliseconds. */
    record Tick() implements EntryEvent {}
}
