package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/**
 * Receives the events of the links to other processes.
 *
 * <p>The events of one process are reported sequentially: up, messages in the order in which they
 * were sent, down. When a new link replaces an existing one, down is reported before up.
 */
public interface PeerListener {
    /**
     * A link was lost or closed.
     *
     * @param peer the other process
     * @param incarnation its incarnation on that link
     */
    void down(NodeId peer, long incarnation);

    /**
     * A message was received.
     *
     * @param peer the other process
     * @param incarnation its incarnation on that link
     */
    void message(NodeId peer, long incarnation, Message message);

    /**
     * A link is up: the hello of the other process has been accepted.
     *
     * @param peer the other process
     * @param incarnation its incarnation
     */
    void up(NodeId peer, long incarnation);
}
