package ebonygw.protocol;

import ebonygw.keyvalue.KeyValueCall;

/**
 * Takes the effects of a deciding class: messages to other processes and key-value calls.
 *
 * <p>The node that owns the deciding class implements it and turns each call into one of its own
 * typed effects. Not thread-safe: used on the control thread only.
 */
public interface Outbox {
    /**
     * Starts a call of the key-value service; its reply comes back with the same identifier.
     *
     * @param callId identifier chosen by the caller, unique within the process while it is open
     * @param call what to do
     */
    void keyValue(long callId, KeyValueCall call);

    /** Sends a message to a process; lost silently if no link to it is up. */
    void send(NodeId to, Message message);
}
