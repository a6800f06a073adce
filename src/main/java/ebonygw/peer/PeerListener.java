package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/**
 * Hears what happens on the links to other processes.
 *
 * <p>Calls for one process come one after the other and in order: up, messages in the order in
 * which they were sent, down. A link that replaces another is first reported as down, then as up.
 */
public interface PeerListener {
    /**
     * A link is lost or was closed.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     */
    void down(NodeId peer, long incarnation);

    /**
     * A message came.
     *
     * @param peer the process
     * @param incarnation its incarnation on that link
     * @param message the message
     */
    void message(NodeId peer, long incarnation, Message message);

    /**
     * A link is up; its hello has been checked.
     *
     * @param peer the process
     * @param incarnation its incarnation
     */
    void up(NodeId peer, long incarnation);
}
