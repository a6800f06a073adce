package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Converts the messages of all families to and from protobuf.
 *
 * <p>Thread-safe.
 */
public final class PeerCodec {
    private final List<FamilyCodec> mFamilies;

    /**
     * Creates a codec of the built-in message families and additional ones.
     *
     * @param additional codecs of additional families, may be empty
     */
    public PeerCodec(List<FamilyCodec> additional) {
        List<FamilyCodec> families = new ArrayList<>();
        families.add(new RequestCodec());
        families.add(new MemberCodec());
        families.add(new SettingsFamilyCodec());
        families.add(new SharesFamilyCodec());
        families.add(new GatewayFamilyCodec());
        families.addAll(additional);
        mFamilies = List.copyOf(families);
    }

    /**
     * Decodes a message.
     *
     * @return the message, empty if this version does not know its kind
     * @throws IllegalArgumentException if it is malformed
     */
    public Optional<Message> decode(Envelope envelope) {
        for (FamilyCodec family : mFamilies) {
            Optional<Message> message = family.decode(envelope);
            if (message.isPresent()) {
                return message;
            }
        }
        return Optional.empty();
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if no codec supports the message
     */
    public Envelope encode(Message message) {
        for (FamilyCodec family : mFamilies) {
            Optional<Envelope> envelope = family.encode(message);
            if (envelope.isPresent()) {
                return envelope.get();
            }
        }
        throw new IllegalArgumentException(
                "no codec for message type " + message.getClass().getName());
    }
}
