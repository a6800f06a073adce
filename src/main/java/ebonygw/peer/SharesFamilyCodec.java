package ebonygw.peer;

import ebonygw.admission.ShareCodec;
import ebonygw.admission.ShareMessage;
import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import ebonygw.wire.SharesProtocol.SharesEnvelope;
import java.util.Optional;

/** Converts {@link ShareMessage}s to and from protobuf. */
final class SharesFamilyCodec implements FamilyCodec {
    SharesFamilyCodec() {}

    @Override
    public Optional<Message> decode(Envelope envelope) {
        SharesEnvelope shares = envelope.getShares();
        if (shares.getKindCase() == SharesEnvelope.KindCase.KIND_NOT_SET) {
            return Optional.empty();
        }
        return Optional.of(ShareCodec.decode(shares));
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        if (!(message instanceof ShareMessage share)) {
            return Optional.empty();
        }
        return Optional.of(Envelope.newBuilder().setShares(ShareCodec.encode(share)).build());
    }
}
