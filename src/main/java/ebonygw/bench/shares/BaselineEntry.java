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
 * Baseline algorithms that divide a customer's rate more simply than shares do.
 *
 * <p>The static baseline gives each entry process an equal, fixed part of the rate. The prepaid
 * baseline keeps all tokens at one entry process, which grants them to the others on request;
 * tokens that are not used before their grant expires are lost. Not thread-safe.
 */
final class BaselineEntry implements EntryModel {
    /** The entry process that grants tokens in the prepaid baseline. */
    private static final NodeId GRANTING_ENTRY = new NodeId("entry-0");

    private static final long GRANT_VALIDITY_NANOS = VirtualFleet.SECOND;
    private static final long GRANT_REQUEST_INTERVAL_NANOS = 100 * VirtualFleet.MILLI;

    private final Member mSelf;
    private final int mEntries;
    private final boolean mPrepaid;
    private final Map<String, BaselineQueue> mQueues = new HashMap<>();
    private final Map<String, BaselineQueue> mUngrantedTokens = new HashMap<>();
    private final Map<String, Long> mRequestedAt = new HashMap<>();
    private final Map<String, Long> mGrantExpiresAt = new HashMap<>();
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
            long requestId, String customer, long tokens, long deadline, long now, Outbox out) {
        Admission admission = queue(mQueues, customer).admit(requestId, tokens, now);
        if (mPrepaid) {
            requestGrant(customer, now, out);
        }
        return admission;
    }

    @Override
    public List<AdmissionDecision> decisions() {
        List<AdmissionDecision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }

    @Override
    public boolean isHandedOver() {
        return true;
    }

    @Override
    public void onKeyValueResponse(
            long requestId, KeyValueResponse response, long now, Outbox out) {
        // Baselines send no key-value requests.
    }

    @Override
    public void onMembers(Collection<Member> members, long now, Outbox out) {
        // Baselines divide by the configured number of entry processes.
    }

    @Override
    public void onMessage(NodeId from, long incarnation, Message message, long now, Outbox out) {
        if (message instanceof GrantRequest request) {
            BaselineQueue ungranted = queue(mUngrantedTokens, request.customer());
            double granted = Math.min(request.tokens(), Math.max(0, ungranted.tokens()));
            ungranted.addTokens(-granted);
            out.send(from, new Grant(request.customer(), granted));
        } else if (message instanceof Grant grant) {
            onGrant(grant, now);
        }
    }

    @Override
    public void onPeer(NodeId peer, long incarnation, boolean up, long now, Outbox out) {
        // Baselines do not depend on which peers are connected.
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
            if (mPrepaid && now > mGrantExpiresAt.getOrDefault(name, Long.MAX_VALUE)) {
                queue.capTokens(0);
            }
            mDecisions.addAll(queue.decideWaiting(now));
            if (mPrepaid) {
                requestGrant(name, now, out);
            }
        }
    }

    @Override
    public void settle(
            long requestId, String customer, long charged, long used, long now, Outbox out) {
        if (!mPrepaid) {
            queue(mQueues, customer).addTokens(charged - used);
        }
    }

    @Override
    public void stop(long now, Outbox out) {
        // Baselines hold nothing to hand over.
    }

    private void onGrant(Grant grant, long now) {
        BaselineQueue queue = queue(mQueues, grant.customer());
        queue.addTokens(grant.tokens());
        mGrantExpiresAt.put(grant.customer(), now + GRANT_VALIDITY_NANOS);
        mDecisions.addAll(queue.decideWaiting(now));
    }

    private void refill(CustomerSettings customer, double tokens) {
        if (!mPrepaid) {
            BaselineQueue queue = queue(mQueues, customer.customer());
            queue.addTokens(tokens / mEntries);
            queue.capTokens(customer.burst() / (double) mEntries);
        } else if (mSelf.id().equals(GRANTING_ENTRY)) {
            BaselineQueue queue = queue(mUngrantedTokens, customer.customer());
            queue.addTokens(tokens);
            queue.capTokens(customer.burst());
        }
    }

    private void requestGrant(String customer, long now, Outbox out) {
        BaselineQueue queue = queue(mQueues, customer);
        long requestedAt = mRequestedAt.getOrDefault(customer, 0L);
        if (queue.missingTokens() <= 0 || now - requestedAt < GRANT_REQUEST_INTERVAL_NANOS) {
            return;
        }
        mRequestedAt.put(customer, now);
        double chunk =
                mSettings.customer(customer).orElseThrow().ratePerSecond() / (2.0 * mEntries);
        GrantRequest request = new GrantRequest(customer, Math.max(queue.missingTokens(), chunk));
        if (mSelf.id().equals(GRANTING_ENTRY)) {
            BaselineQueue ungranted = queue(mUngrantedTokens, customer);
            double granted = Math.min(request.tokens(), Math.max(0, ungranted.tokens()));
            ungranted.addTokens(-granted);
            onGrant(new Grant(customer, granted), now);
        } else {
            out.send(GRANTING_ENTRY, request);
        }
    }

    private static BaselineQueue queue(Map<String, BaselineQueue> queues, String customer) {
        return queues.computeIfAbsent(customer, it -> new BaselineQueue());
    }

    private record GrantRequest(String customer, double tokens) implements Message {}

    private record Grant(String customer, double tokens) implements Message {}
}
