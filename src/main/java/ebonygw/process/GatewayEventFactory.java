package ebonygw.process;

import ebonygw.gateway.GatewayEvent;
import ebonygw.keyvalue.KeyValueResponse;
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
    public GatewayEvent keyValueResponseReceived(long requestId, KeyValueResponse response) {
        return new GatewayEvent.KeyValueResponseReceived(requestId, response);
    }

    @Override
    public GatewayEvent peerDown(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerDown(peer, incarnation);
    }

    @Override
    public GatewayEvent peerMessageReceived(NodeId peer, long incarnation, Message message) {
        return new GatewayEvent.PeerMessageReceived(peer, incarnation, message);
    }

    @Override
    public GatewayEvent peerUp(NodeId peer, long incarnation) {
        return new GatewayEvent.PeerUp(peer, incarnation);
    }

    @Override
    public GatewayEvent stopRequested() {
        return new GatewayEvent.StopRequested();
    }

    @Override
    public GatewayEvent tick() {
        return new GatewayEvent.Tick();
    }
}
