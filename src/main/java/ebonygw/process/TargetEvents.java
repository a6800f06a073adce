package ebonygw.process;

import ebonygw.TargetEvent;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Makes the events of a target process. */
final class TargetEvents implements NodeEvents<TargetEvent> {
    TargetEvents() {}

    @Override
    public TargetEvent hostsListed(HostList hosts) {
        return new TargetEvent.HostsListed(hosts);
    }

    @Override
    public TargetEvent keyValueReplied(long callId, KeyValueReply reply) {
        return new TargetEvent.KeyValueReplied(callId, reply);
    }

    @Override
    public TargetEvent peerDown(NodeId peer, long incarnation) {
        return new TargetEvent.PeerDown(peer, incarnation);
    }

    @Override
    public TargetEvent peerSaid(NodeId peer, long incarnation, Message message) {
        return new TargetEvent.PeerSaid(peer, incarnation, message);
    }

    @Override
    public TargetEvent peerUp(NodeId peer, long incarnation) {
        return new TargetEvent.PeerUp(peer, incarnation);
    }

    @Override
    public TargetEvent stopAsked() {
        return new TargetEvent.StopAsked();
    }

    @Override
    public TargetEvent tick() {
        return new TargetEvent.Tick();
    }
}
