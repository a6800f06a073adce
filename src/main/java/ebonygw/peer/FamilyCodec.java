package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.Optional;

/**
 * Translates one family of messages to and from their form on links.
 *
 * <p>Implementations are thread-safe and keep no state.
 */
public interface FamilyCodec {
    /**
     * Reads a message.
     *
     * @param envelope the form on links
     * @return the message, empty if it belongs to another family or is of an unknown kind
     * @throws IllegalArgumentException if it belongs to this family and is malformed
     */
    Optional<Message> decode(Envelope envelope);

    /**
     * Writes a message.
     *
     * @param message the message
     * @return the form on links, empty if the message belongs to another family
     */
    Optional<Envelope> encode(Message message);
}
