package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.SettingsView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Simpler ways to divide a rate: an equal part for each process, or prepaid grants of one process,
 * each of which is lost if it is not used in time. Not thread-safe.
 */
final class BaselineEntry implements EntryModel {
    private static final NodeId CENTRE = new NodeId("entry-0");
    private static final long GRANT_NANOS = VirtualFleet.SECOND;
    private static final long ASK_NANOS = 100 * VirtualFleet.MILLI;

    private final Member mSelf;
    private final int mEntries;
    private final boolean mPrepaid;
    private final Map<String, BaselineQueue> mQueues = new HashMap<>();
    private final Map<String, BaselineQueue> mCentral = new HashMap<>();
    private final Map<String, Long> mAskedAt = new HashMap<>();
    private final Map<String, Long> mExpiresAt = new HashMap<>();
    private final List<AdmissionDecision> mDecisions = new ArrayList<>();
    private SettingsView mSettings;
    private long mRefilledAt;

    BaselineEntry(Member self, int entries, boolean prepaid) {
        mSelf = self;
        mEntries = entries;
        mPrepaid = prepaid;
    }

    @Override
    public Admission admit(
            long ticket, String customer, long tokens, long deadline, long now, Outbox out) {
        Admission admission = queue(mQueues, customer).admit(ticket, tokens, now);
        if (mPrepaid) {
            ask(customer, now, out);
        }
        return admission;
    }

    @Override
    public List<AdmissionDecision> decisions() {
        List<AdmissionDecision> all = List.copyOf(mDecisions);
        mDecisions.clear();
        return all;
    }

    @Override
    public boolean handedOver() {
        return true;
    }

    @Override
    public void onKeyValueReply(long callId, KeyValueResponse reply, long now, Outbox out) {
        // A baseline makes no calls.
    }

    @Override
    public void onMembers(Collection<Member> members, long now, Outbox out) {
        // A baseline divides by the number of processes configured.
    }

    @Override
    public void onMessage(NodeId from, long incarnation, Message message, long now, Outbox out) {
        if (message instanceof Ask ask) {
            BaselineQueue central = queue(mCentral, ask.customer());
            double granted = Math.min(ask.tokens(), Math.max(0, central.tokens()));
            central.add(-granted);
            out.send(from, new Grant(ask.customer(), granted));
        } else if (message instanceof Grant grant) {
            onGrant(grant, now);
        }
    }

    @Override
    public void onPeer(NodeId peer, long incarnation, boolean up, long now, Outbox out) {
        // A baseline does not follow its peers.
    }

    @Override
    public void onSettings(SettingsView settings, long now, Outbox out) {
        boolean first = mSettings == null;
        mSettings = settings;
        if (first) {
            mRefilledAt = now;
            settings.customers().forEach(it -> refill(it, it.burst()));
        }
    }

    @Override
    public void onTick(long now, Outbox out) {
        if (mSettings == null) {
            return;
        }
        double seconds = (now - mRefilledAt) / (double) VirtualFleet.SECOND;
        mRefilledAt = now;
        for (CustomerSettings customer : mSettings.customers()) {
            refill(customer, customer.ratePerSecond() * seconds);
            String name = customer.customer();
            BaselineQueue queue = queue(mQueues, name);
            if (mPrepaid && now > mExpiresAt.getOrDefault(name, Long.MAX_VALUE)) {
                queue.limit(0);
            }
            mDecisions.addAll(queue.drain(now));
            if (mPrepaid) {
                ask(name, now, out);
            }
        }
    }

    @Override
    public void settle(
            long ticket, String customer, long charged, long used, long now, Outbox out) {
        if (!mPrepaid) {
            queue(mQueues, customer).add(charged - used);
        }
    }

    @Override
    public void stop(long now, Outbox out) {
        // A baseline has nothing to hand over.
    }

    private void ask(String customer, long now, Outbox out) {
        BaselineQueue queue = queue(mQueues, customer);
        long asked = mAskedAt.getOrDefault(customer, 0L);
        if (queue.missing() <= 0 || now - asked < ASK_NANOS) {
            return;
        }
        mAskedAt.put(customer, now);
        double chunk =
                mSettings.customer(customer).orElseThrow().ratePerSecond() / (2.0 * mEntries);
        Ask ask = new Ask(customer, Math.max(queue.missing(), chunk));
        if (mSelf.id().equals(CENTRE)) {
            BaselineQueue central = queue(mCentral, customer);
            double granted = Math.min(ask.tokens(), Math.max(0, central.tokens()));
            central.add(-granted);
            onGrant(new Grant(customer, granted), now);
        } else {
            out.send(CENTRE, ask);
        }
    }

    private void onGrant(Grant grant, long now) {
        BaselineQueue queue = queue(mQueues, grant.customer());
        queue.add(grant.tokens());
        mExpiresAt.put(grant.customer(), now + GRANT_NANOS);
        mDecisions.addAll(queue.drain(now));
    }

    private void refill(CustomerSettings customer, double tokens) {
        if (!mPrepaid) {
            BaselineQueue queue = queue(mQueues, customer.customer());
            queue.add(tokens / mEntries);
            queue.limit(customer.burst() / (double) mEntries);
        } else if (mSelf.id().equals(CENTRE)) {
            BaselineQueue queue = queue(mCentral, customer.customer());
            queue.add(tokens);
            queue.limit(customer.burst());
        }
    }

    private static BaselineQueue queue(Map<String, BaselineQueue> queues, String customer) {
        return queues.computeIfAbsent(customer, it -> new BaselineQueue());
    }

    private record Ask(String customer, double tokens) implements Message {}

    private record Grant(String customer, double tokens) implements Message {}
}
