package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import ebonygw.admission.ShareCodec;
import ebonygw.admission.ShareMessage;
import ebonygw.admission.ShareNode;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.SettingsView;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Runs the production share classes; each message is encoded and decoded by its codec. */
final class ShareEntry implements EntryModel {
    private final ShareNode mNode;

    ShareEntry(Member self) {
        mNode = new ShareNode(self.id(), self.incarnation(), self.locality(), List.of());
    }

    @Override
    public Admission admit(
            long requestId, String customer, long tokens, long deadline, long now, Outbox out) {
        return mNode.admit(requestId, customer, tokens, deadline, now, out);
    }

    @Override
    public List<AdmissionDecision> decisions() {
        return mNode.decisions();
    }

    @Override
    public boolean isHandedOver() {
        return mNode.isHandedOver();
    }

    @Override
    public void onKeyValueResponse(
            long requestId, KeyValueResponse response, long now, Outbox out) {
        mNode.onKeyValueResponse(requestId, response, now, out);
    }

    @Override
    public void onMembers(Collection<Member> members, long now, Outbox out) {
        mNode.onMembers(members, now, out);
    }

    @Override
    public void onMessage(NodeId from, long incarnation, Message message, long now, Outbox out) {
        ShareMessage decoded = ShareCodec.decode(ShareCodec.encode((ShareMessage) message));
        mNode.onMessage(from, incarnation, decoded, now, out);
    }

    @Override
    public void onPeer(NodeId peer, long incarnation, boolean up, long now, Outbox out) {
        if (up) {
            mNode.onPeerUp(peer, incarnation, now, out);
        } else {
            mNode.onPeerDown(peer, incarnation, now, out);
        }
    }

    @Override
    public void onSettings(SettingsView settings, long now, Outbox out) {
        mNode.onSettings(settings, now, out);
    }

    @Override
    public void onTick(long now, Outbox out) {
        mNode.onTick(now, out);
    }

    @Override
    public void settle(
            long requestId, String customer, long charged, long used, long now, Outbox out) {
        mNode.settle(requestId, customer, charged, used, now, out);
    }

    @Override
    public void stop(long now, Outbox out) {
        mNode.stop(now, out);
    }

    Map<String, Object> dump() {
        return mNode.dump();
    }
}
