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

/**
 * The part of a simulated entry process that divides customers' rates, as the experiment drives it.
 * Times are nanoseconds of the process's own clock.
 */
interface EntryModel {
    /**
     * Requests tokens; if the outcome is waiting, {@link #decisions} returns the decision later.
     */
    Admission admit(
            long requestId, String customer, long tokens, long deadlineNanos, long now, Outbox out);

    /** Returns the decisions about waiting requests made since the previous invocation. */
    List<AdmissionDecision> decisions();

    /** Returns whether a process that is stopping has handed over what it held and may end. */
    boolean isHandedOver();

    void onKeyValueResponse(long requestId, KeyValueResponse response, long now, Outbox out);

    void onMembers(Collection<Member> members, long now, Outbox out);

    void onMessage(NodeId from, long incarnation, Message message, long now, Outbox out);

    /** Reports that the connection to an incarnation of a peer is established or lost. */
    void onPeer(NodeId peer, long incarnation, boolean up, long now, Outbox out);

    void onSettings(SettingsView settings, long now, Outbox out);

    void onTick(long now, Outbox out);

    /** Replaces the tokens charged for an admitted request by those that it used. */
    void settle(long requestId, String customer, long charged, long used, long now, Outbox out);

    /** Starts a graceful stop. */
    void stop(long now, Outbox out);

    /** Creates the model of one incarnation of an entry process, in a fleet of that many. */
    @FunctionalInterface
    interface Factory {
        EntryModel create(Member self, int entries);
    }
}
