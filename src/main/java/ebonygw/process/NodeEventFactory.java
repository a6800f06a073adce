package ebonygw.process;

import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/**
 * Creates the events that all kinds of nodes handle; each kind has its own event types.
 *
 * <p>Implementations are stateless and thread-safe.
 *
 * @param <E> type of the events
 */
interface NodeEventFactory<E> {
    /**
     * Returns the event for a newly read host list.
     *
     * @throws UnsupportedOperationException if nodes of this kind do not use a host list
     */
    E hostListReceived(HostList hosts);

    /** Returns the event for a response of the key-value service to a request. */
    E keyValueResponseReceived(long requestId, KeyValueResponse response);

    /** Returns the event for a lost connection to a peer. */
    E peerDown(NodeId peer, long incarnation);

    /** Returns the event for a message received from a peer. */
    E peerMessageReceived(NodeId peer, long incarnation, Message message);

    /** Returns the event for an established connection to a peer. */
    E peerUp(NodeId peer, long incarnation);

    /** Returns the event that requests a graceful stop. */
    E stopRequested();

    /** Returns the periodic event on which a node checks its timers. */
    E tick();
}
