package ebonygw.process;

import ebonygw.gateway.GatewayEvent;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Makes the events of entries that forward directly, and of loaders. */
final class GatewayEvents implements NodeEvents<GatewayEvent> {
    GatewayEvents() {}

    @Override
    public GatewayEvent hostsListed(HostList hosts) {
        throw new UnsupportedOperationException("a direct gateway reads no host list");
    }

    @Override
    public GatewayEvent keyValueReplied(long callId, KeyValueReply reply) {
        return new GatewayEvent.KeyValueReplied(callId, reply);
    }

    @Override
    public GatewayEvent peerDown(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerDown(peer, incarnation);
    }

    @Override
    public GatewayEvent peerSaid(NodeId peer, long incarnation, Message message) {
        return new GatewayEvent.PeerSaid(peer, incarnation, message);
    }

    @Override
    public GatewayEvent peerUp(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerUp(peer, incarnation);
    }

    @Override
    public GatewayEvent stopAsked() {
        return new GatewayEvent.StopAsked();
    }

    @Override
    public GatewayEvent tick() {
        return new GatewayEvent.Tick();
    }
}
