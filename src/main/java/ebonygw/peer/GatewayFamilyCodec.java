package ebonygw.peer;

import ebonygw.gateway.GatewayMessage;
import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.AdapterRequests;
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
        if (envelope.hasAdapterUse()) {
            Map<String, Integer> requests = new HashMap<>();
            for (AdapterRequests used : envelope.getAdapterUse().getUsedList()) {
                requests.merge(used.getAdapter(), used.getRequests(), Integer::sum);
            }
            return Optional.of(new GatewayMessage.AdapterUse(requests));
        }
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
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof GatewayMessage.AdapterUse use) {
            use.requestsByAdapter()
                    .forEach(
                            (adapter, requests) ->
                                    envelope.getAdapterUseBuilder()
                                            .addUsedBuilder()
                                            .setAdapter(adapter)
                                            .setRequests(requests));
            return Optional.of(envelope.build());
        }
        if (!(message instanceof GatewayMessage.Usage usage)) {
            return Optional.empty();
        }
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
