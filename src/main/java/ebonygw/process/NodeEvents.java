package ebonygw.process;

import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/**
 * Makes the events that both kinds of nodes know in types of their own.
 *
 * <p>Implementations are thread-safe and keep no state.
 *
 * @param <E> type of the events
 */
interface NodeEvents<E> {
    /** Returns the event of a new host list. */
    E hostsListed(HostList hosts);

    /** Returns the event of a key-value reply. */
    E keyValueReplied(long callId, KeyValueReply reply);

    /** Returns the event of a lost link. */
    E peerDown(NodeId peer, long incarnation);

    /** Returns the event of a message. */
    E peerSaid(NodeId peer, long incarnation, Message message);

    /** Returns the event of a link that is up. */
    E peerUp(NodeId peer, long incarnation);

    /** Returns the event that asks to stop gracefully. */
    E stopAsked();

    /** Returns the event that tells that time has passed. */
    E tick();
}
