package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.settings.SettingsCodec;
import ebonygw.settings.SettingsMessage;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.Optional;

/** Converts {@link SettingsMessage}s to and from protobuf. */
final class SettingsFamilyCodec implements FamilyCodec {
    SettingsFamilyCodec() {}

    @Override
    public Optional<Message> decode(Envelope envelope) {
        if (!envelope.hasSettings()) {
            return Optional.empty();
        }
        return SettingsCodec.decode(envelope.getSettings()).map(message -> message);
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        if (!(message instanceof SettingsMessage settings)) {
            return Optional.empty();
        }
        return Optional.of(
                Envelope.newBuilder().setSettings(SettingsCodec.encode(settings)).build());
    }
}
