package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.SettingsView;
import java.util.Collection;
import java.util.List;

/** What the experiment needs of an entry process, whichever way it divides rates. */
interface EntryModel {
    Admission admit(
            long ticket, String customer, long tokens, long deadlineNanos, long now, Outbox out);

    List<AdmissionDecision> decisions();

    boolean handedOver();

    void onKeyValueReply(long callId, KeyValueResponse reply, long now, Outbox out);

    void onMembers(Collection<Member> members, long now, Outbox out);

    void onMessage(NodeId from, long incarnation, Message message, long now, Outbox out);

    void onPeer(NodeId peer, long incarnation, boolean up, long now, Outbox out);

    void onSettings(SettingsView settings, long now, Outbox out);

    void onTick(long now, Outbox out);

    void settle(long ticket, String customer, long charged, long used, long now, Outbox out);

    void stop(long now, Outbox out);

    /** Creates the model of one incarnation of an entry process. */
    @FunctionalInterface
    interface Factory {
        EntryModel create(Member self, int entries);
    }
}
