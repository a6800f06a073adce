package ebonygw.process;

import ebonygw.TargetEvent;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Creates the events of a target process. */
final class TargetEventFactory implements NodeEventFactory<TargetEvent> {
    TargetEventFactory() {}

    @Override
    public TargetEvent hostListReceived(HostList hosts) {
        return new TargetEvent.HostListReceived(hosts);
    }

    @Override
    public TargetEvent keyValueResponseReceived(long requestId, KeyValueResponse response) {
        return new TargetEvent.KeyValueResponseReceived(requestId, response);
    }

    @Override
    public TargetEvent peerDown(NodeId peer, long incarnation) {
        return new TargetEvent.PeerDown(peer, incarnation);
    }

    @Override
    public TargetEvent peerMessageReceived(NodeId peer, long incarnation, Message message) {
        return new TargetEvent.PeerMessageReceived(peer, incarnation, message);
    }

    @Override
    public TargetEvent peerUp(NodeId peer, long incarnation) {
        return new TargetEvent.PeerUp(peer, incarnation);
    }

    @Override
    public TargetEvent stopRequested() {
        return new TargetEvent.StopRequested();
    }

    @Override
    public TargetEvent tick() {
        return new TargetEvent.Tick();
    }
}
