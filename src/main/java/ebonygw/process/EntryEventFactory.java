package ebonygw.process;

import ebonygw.EntryEvent;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.HostList;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;

/** Creates the events of an entry process. */
final class EntryEventFactory implements NodeEventFactory<EntryEvent> {
    EntryEventFactory() {}

    @Override
    public EntryEvent hostListReceived(HostList hosts) {
        return new EntryEvent.HostListReceived(hosts);
    }

    @Override
    public EntryEvent keyValueResponseReceived(long requestId, KeyValueResponse response) {
        return new EntryEvent.KeyValueResponseReceived(requestId, response);
    }

    @Override
    public EntryEvent peerDown(NodeId peer, long incarnation) {
        return new EntryEvent.PeerDown(peer, incarnation);
    }

    @Override
    public EntryEvent peerMessageReceived(NodeId peer, long incarnation, Message message) {
        return new EntryEvent.PeerMessageReceived(peer, incarnation, message);
    }

    @Override
    public EntryEvent peerUp(NodeId peer, long incarnation) {
        return new EntryEvent.PeerUp(peer, incarnation);
    }

    @Override
    public EntryEvent stopRequested() {
        return new EntryEvent.StopRequested();
    }

    @Override
    public EntryEvent tick() {
        return new EntryEvent.Tick();
    }
}
