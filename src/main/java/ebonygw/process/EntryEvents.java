package ebonygw.process;

import ebonygw.EntryEvent;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Makes the events of an entry process. */
final class EntryEvents implements NodeEvents<EntryEvent> {
    EntryEvents() {}

    @Override
    public EntryEvent hostsListed(HostList hosts) {
        return new EntryEvent.HostsListed(hosts);
    }

    @Override
    public EntryEvent keyValueReplied(long callId, KeyValueReply reply) {
        return new EntryEvent.KeyValueReplied(callId, reply);
    }

    @Override
    public EntryEvent peerDown(NodeId peer, long incarnation) {
        return new EntryEvent.PeerDown(peer, incarnation);
    }

    @Override
    public EntryEvent peerSaid(NodeId peer, long incarnation, Message message) {
        return new EntryEvent.PeerSaid(peer, incarnation, message);
    }

    @Override
    public EntryEvent peerUp(NodeId peer, long incarnation) {
        return new EntryEvent.PeerUp(peer, incarnation);
    }

    @Override
    public EntryEvent stopAsked() {
        return new EntryEvent.StopAsked();
    }

    @Override
    public EntryEvent tick() {
        return new EntryEvent.Tick();
    }
}
