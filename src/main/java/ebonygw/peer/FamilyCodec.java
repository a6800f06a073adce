package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.Optional;

/**
 * Converts one family of messages to and from protobuf.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface FamilyCodec {
    /**
     * Decodes a message.
     *
     * @return the message, empty if it belongs to another family or its kind is unknown
     * @throws IllegalArgumentException if it belongs to this family and is malformed
     */
    Optional<Message> decode(Envelope envelope);

    /**
     * Encodes a message.
     *
     * @return the envelope, empty if the message belongs to another family
     */
    Optional<Envelope> encode(Message message);
}
