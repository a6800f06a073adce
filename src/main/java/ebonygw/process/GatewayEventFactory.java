package ebonygw.process;

import ebonygw.gateway.GatewayEvent;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Creates the events of direct gateways: entries that forward directly, and loaders. */
final class GatewayEventFactory implements NodeEventFactory<GatewayEvent> {
    GatewayEventFactory() {}

    @Override
    public GatewayEvent hostListReceived(HostList hosts) {
        throw new UnsupportedOperationException("direct gateways do not read a host list");
    }

    @Override
    public GatewayEvent keyValueResponseReceived(long requestId, KeyValueReply response) {
        return new GatewayEvent.KeyValueReplied(requestId, response);
    }

    @Override
    public GatewayEvent peerDown(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerDown(peer, incarnation);
    }

    @Override
    public GatewayEvent peerMessageReceived(NodeId peer, long incarnation, Message message) {
        return new GatewayEvent.PeerSaid(peer, incarnation, message);
    }

    @Override
    public GatewayEvent peerUp(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerUp(peer, incarnation);
    }

    @Override
    public GatewayEvent stopRequested() {
        return new GatewayEvent.StopAsked();
    }

    @Override
    public GatewayEvent tick() {
        return new GatewayEvent.Tick();
    }
}
