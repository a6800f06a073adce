package ebonygw.peer;

import ebonygw.gateway.GatewayMessage;
import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.CustomerTokens;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Translates {@link GatewayMessage}s. */
final class GatewayFamilyCodec implements FamilyCodec {
    GatewayFamilyCodec() {}

    @Override
    public Optional<Message> decode(Envelope envelope) {
        if (!envelope.hasGatewayUsage()) {
            return Optional.empty();
        }
        Map<String, Long> tokens = new HashMap<>();
        for (CustomerTokens charged : envelope.getGatewayUsage().getChargedList()) {
            tokens.merge(charged.getCustomer(), charged.getTokens(), Long::sum);
        }
        return Optional.of(new GatewayMessage.Usage(tokens));
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        if (!(message instanceof GatewayMessage.Usage usage)) {
            return Optional.empty();
        }
        Envelope.Builder envelope = Envelope.newBuilder();
        usage.tokensByCustomer()
                .forEach(
                        (customer, tokens) ->
                                envelope.getGatewayUsageBuilder()
                                        .addChargedBuilder()
                                        .setCustomer(customer)
                                        .setTokens(tokens));
        return Optional.of(envelope.build());
    }
}
