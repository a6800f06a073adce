package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Translates all families of messages to and from their form on links.
 *
 * <p>Thread-safe.
 */
public final class PeerCodec {
    private final List<FamilyCodec> mFamilies;

    /**
     * Creates a codec of our own families of messages and further ones.
     *
     * @param further codecs of further families, usually none
     */
    public PeerCodec(List<FamilyCodec> further) {
        List<FamilyCodec> families = new ArrayList<>();
        families.add(new RequestCodec());
        families.add(new MemberCodec());
        families.add(new SettingsFamilyCodec());
        families.add(new SharesFamilyCodec());
        families.add(new GatewayFamilyCodec());
        families.addAll(further);
        mFamilies = List.copyOf(families);
    }

    /**
     * Reads a message.
     *
     * @param envelope the form on links
     * @return the message, empty if its kind is not known to this version
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
     * Writes a message.
     *
     * @throws IllegalArgumentException if no family knows the message
     */
    public Envelope encode(Message message) {
        for (FamilyCodec family : mFamilies) {
            Optional<Envelope> envelope = family.encode(message);
            if (envelope.isPresent()) {
                return envelope.get();
            }
        }
        throw new IllegalArgumentException("no codec for " + message.getClass().getName());
    }
}
