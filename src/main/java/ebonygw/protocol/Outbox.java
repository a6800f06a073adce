package ebonygw.protocol;

import ebonygw.keyvalue.KeyValueRequest;

/**
 * Receives the outputs of control logic: messages to other processes and key-value requests.
 *
 * <p>Classes that decide what a process does perform no I/O of their own. They pass their outputs
 * to an outbox, which the owning node implements by turning each into one of its typed effects. Not
 * thread-safe: used on the control thread only.
 */
public interface Outbox {
    /**
     * Sends a request to the key-value service; its response carries the same identifier.
     *
     * @param requestId identifier chosen by the sender, unique among the pending requests of the
     *     process
     * @param request the request
     */
    void sendKeyValueRequest(long requestId, KeyValueRequest request);

    /** Sends a message to a process, or drops it silently if there is no connection to it. */
    void send(NodeId to, Message message);
}
