package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Terms;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.Member;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.SettingsView;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The part of an entry process that keeps each customer within its rate and burst over the whole
 * fleet.
 *
 * <p>A customer's rate and burst are divided among entry processes and moved between them by
 * demand; nothing is created when they move. All functions take the present time of a clock that is
 * never set, whose rate is within 500 parts in a million of true time; clocks of hosts need not
 * agree. Not thread-safe: used on the control thread only.
 */
public final class ShareNode {
    /** Number of shards of customers, each with one owner. */
    public static final int SHARDS = 16;

    private static final int CALL_OWNER = 2;
    private static final int FEW_HOLDERS = 8;
    private static final int MOST_ASKS = 3;
    private static final long DEMAND_INTERVAL_NANOS = 200_000_000L;
    private static final long DEMAND_REPEAT_NANOS = 1_000_000_000L;
    private static final long HINTS_NANOS = 1_000_000_000L;
    private static final long MAX_RATE_PER_SECOND = 9_000_000L;
    private static final long STOP_NANOS = 5_000_000_000L;

    private final Peers mPeers;
    private final Map<String, Resource> mResources = new LinkedHashMap<>();
    private final CallIds mCallIds = new CallIds(CALL_OWNER);
    private final ShardLease[] mLeases = new ShardLease[SHARDS];
    private final ShardOwner[] mOwners = new ShardOwner[SHARDS];
    private final Map<String, CustomerShare> mShares = new HashMap<>();
    private final Map<String, Reported> mReports = new HashMap<>();
    private final Set<CustomerShare> mActive = new LinkedHashSet<>();
    private final List<AdmissionDecision> mDecisions = new ArrayList<>();
    private final ArrayDeque<ShareMessage> mToSelf = new ArrayDeque<>();
    private final Sender mSender = new Sender();
    private long mLastLoan;
    private SettingsView mSettings;
    private boolean mJoined;
    private long mStoppingSince;
    private long mNow;

    /**
     * Creates the node of one incarnation of an entry process.
     *
     * @param self the process
     * @param incarnation its incarnation, greater than that of each earlier one
     * @param locality where it runs
     * @param resources fleet-wide resources divided besides customers' tokens; the same on all
     *     entry processes
     * @throws NullPointerException if an argument is null
     */
    public ShareNode(
            NodeId self, long incarnation, Locality locality, Collection<Resource> resources) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(locality, "locality");
        mPeers = new Peers(self, incarnation, locality);
        resources.forEach(it -> mResources.put(it.name(), it));
        for (int shard = 0; shard < SHARDS; shard++) {
            mLeases[shard] = new ShardLease(shard, mPeers.self());
            mOwners[shard] = new ShardOwner(shard, mPeers, mLeases[shard], mCallIds, this::terms);
        }
    }

    /**
     * Charges a request's tokens, or lets it wait for them, or refuses it.
     *
     * @param ticket number of the request, 0 or greater, unique in the process
     * @param customer its customer
     * @param tokens tokens of its prompt and its longest answer, 0 or greater
     * @param deadlineNanos when it is no longer worth running
     * @param nowNanos the present time
     * @param out takes messages
     * @return the outcome; {@link Admission#WAITING} is followed by one of {@link #decisions}
     * @throws IllegalArgumentException if {@code tokens} or {@code ticket} is below 0
     */
    public Admission admit(
            long ticket,
            String customer,
            long tokens,
            long deadlineNanos,
            long nowNanos,
            Outbox out) {
        if (tokens < 0 || ticket < 0) {
            throw new IllegalArgumentException("below 0: ticket " + ticket + " tokens " + tokens);
        }
        CustomerShare share = mShares.get(customer);
        if (share == null) {
            share = share(customer);
        }
        long cost = tokens * TokenBucket.UNITS_PER_TOKEN;
        boolean leased = mStoppingSince == 0 && leased(share, nowNanos);
        Admission admission = share.admit(ticket, cost, deadlineNanos, nowNanos, leased);
        mActive.add(share);
        if (admission == Admission.WAITING) {
            borrow(share, nowNanos, out);
            deliverToSelf(nowNanos, out);
        }
        return admission;
    }

    /**
     * Ends a request that was admitted or waits and did not run; its whole charge comes back.
     *
     * @param ticket its ticket
     * @param customer its customer
     * @param charged tokens that it was to be charged
     * @param nowNanos the present time
     * @param out takes messages
     */
    public void cancel(long ticket, String customer, long charged, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(customer);
        if (share != null && !share.cancel(ticket)) {
            settle(ticket, customer, charged, 0, nowNanos, out);
        }
    }

    /** Returns the decisions about waiting requests made since the last call. */
    public List<AdmissionDecision> decisions() {
        if (mDecisions.isEmpty()) {
            return List.of();
        }
        List<AdmissionDecision> all = List.copyOf(mDecisions);
        mDecisions.clear();
        return all;
    }

    /** Returns the state for people: shards owned and followed, and what is held of customers. */
    public Map<String, Object> dump() {
        Map<String, Object> shards = new LinkedHashMap<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            ShardLease lease = mLeases[shard];
            shards.put(
                    Integer.toString(shard),
                    Map.of(
                            "epoch", lease.epoch(),
                            "leased", lease.isValid(mNow),
                            "owner", lease.owner() == null ? "" : lease.owner().id().name(),
                            "own", mOwners[shard].describe()));
        }
        Map<String, Object> customers = new LinkedHashMap<>();
        mShares.forEach((customer, share) -> customers.put(customer, describe(share)));
        return Map.of("shards", shards, "customers", customers);
    }

    /** Returns whether this process has held a lease on every shard at the same time. */
    public boolean hasJoined() {
        return mJoined;
    }

    /** Returns whether a stop may go on: nothing is held any more, or nobody could take it. */
    public boolean handedOver() {
        if (mStoppingSince == 0) {
            return false;
        }
        boolean late = mNow - mStoppingSince > STOP_NANOS;
        boolean alone = mPeers.live().size() == 1;
        for (CustomerShare share : mShares.values()) {
            if (share.holds() && !alone && !late) {
                return false;
            }
        }
        for (ShardOwner owner : mOwners) {
            if (owner.isOwner() && !late) {
                return false;
            }
        }
        return true;
    }

    /** Answers a reply of the key-value service; returns whether the call was this node's. */
    public boolean onKeyValueReply(long callId, KeyValueReply reply, long nowNanos, Outbox out) {
        if (!mCallIds.issued(callId)) {
            return false;
        }
        mNow = nowNanos;
        Outbox sender = sender(out);
        for (ShardOwner owner : mOwners) {
            if (owner.onReply(callId, reply, nowNanos, sender)) {
                break;
            }
        }
        deliverToSelf(nowNanos, out);
        return true;
    }

    /** Takes in the processes of the fleet; those that are no entries are left out. */
    public void onMembers(Collection<Member> members, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onMembers(members);
    }

    /** Takes in a message of another entry or target process. */
    public void onMessage(
            NodeId from, long incarnation, ShareMessage message, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onHeard(from, incarnation, nowNanos);
        handle(new Holder(from, incarnation, false), message, nowNanos, out);
        deliverToSelf(nowNanos, out);
    }

    /** Takes in the loss of a link. */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onDown(peer, incarnation, nowNanos);
    }

    /** Takes in a new link. */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onUp(peer, incarnation, nowNanos);
    }

    /** Takes over a new revision of the settings; lower limits are in force on return. */
    public void onSettings(SettingsView settings, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mSettings = settings;
        for (CustomerSettings customer : settings.customers()) {
            share(customer.customer());
        }
        for (CustomerShare share : mShares.values()) {
            share.onTerms(terms(share.customer()), nowNanos);
            reportShrunk(share, nowNanos, out);
        }
        for (ShardOwner owner : mOwners) {
            owner.onTerms(nowNanos);
        }
        deliverToSelf(nowNanos, out);
    }

    /** Does what is due by time; call at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mNow = nowNanos;
        Outbox sender = sender(out);
        for (int shard = 0; shard < SHARDS; shard++) {
            if (mLeases[shard].tick(nowNanos, sender)) {
                emptyShares(shard);
            }
            mOwners[shard].tick(mStoppingSince != 0, nowNanos, sender);
        }
        mJoined |= Arrays.stream(mLeases).allMatch(lease -> lease.isValid(nowNanos));
        for (CustomerShare share : List.copyOf(mActive)) {
            tickShare(share, nowNanos, out);
        }
        deliverToSelf(nowNanos, out);
    }

    /**
     * Ends a request that ran.
     *
     * @param ticket its ticket
     * @param customer its customer
     * @param charged tokens that it was charged
     * @param used tokens that it used, below 0 if that is not known
     * @param nowNanos the present time
     * @param out takes messages
     */
    public void settle(
            long ticket, String customer, long charged, long used, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(customer);
        if (share == null) {
            return;
        }
        long counted = used < 0 ? charged : used;
        share.settle(
                ticket,
                charged * TokenBucket.UNITS_PER_TOKEN,
                counted * TokenBucket.UNITS_PER_TOKEN,
                nowNanos,
                sender(out));
        if (share.waiting() > 0) {
            share.drain(nowNanos, leased(share, nowNanos), mDecisions, sender(out));
        }
        deliverToSelf(nowNanos, out);
    }

    /** Starts to hand all shares and ownerships over; goes on with each tick. */
    public void stop(long nowNanos, Outbox out) {
        if (mStoppingSince == 0) {
            mStoppingSince = nowNanos;
            mActive.addAll(mShares.values());
        }
        onTick(nowNanos, out);
    }

    private void borrow(CustomerShare share, long nowNanos, Outbox out) {
        Borrower borrower = share.borrower();
        long missing = share.missing(nowNanos, leased(share, nowNanos));
        if (missing == 0) {
            return;
        }
        long least = share.missingForNext(nowNanos, leased(share, nowNanos));
        List<NodeId> lenders = lenders(share, nowNanos);
        int most = lenders.size() > FEW_HOLDERS ? MOST_ASKS : 1;
        Outbox sender = sender(out);
        for (NodeId lender : lenders) {
            if (borrower.openAsks() >= most) {
                return;
            }
            if (borrower.mayAsk(lender, nowNanos)) {
                borrower.ask(lender, missing, least, nowNanos, sender);
            }
        }
    }

    private void deliverToSelf(long nowNanos, Outbox out) {
        while (!mToSelf.isEmpty()) {
            handle(mPeers.self(), mToSelf.poll(), nowNanos, out);
        }
    }

    private Map<String, Object> describe(CustomerShare share) {
        TokenBucket bucket = share.bucket();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("shard", share.shard());
        fields.put("rate", bucket.rate() / TokenBucket.UNITS_PER_TOKEN);
        fields.put("capacity", bucket.capacity() / TokenBucket.UNITS_PER_TOKEN);
        fields.put("level", bucket.level() / TokenBucket.UNITS_PER_TOKEN);
        fields.put("lent", bucket.reserved() / TokenBucket.UNITS_PER_TOKEN);
        fields.put("waiting", share.waiting());
        String free = mOwners[share.shard()].free(share.customer());
        if (free != null) {
            fields.put("free", free);
        }
        return fields;
    }

    private void emptyShares(int shard) {
        for (CustomerShare share : mShares.values()) {
            if (share.shard() == shard) {
                share.empty();
            }
        }
    }

    private void handle(Holder from, ShareMessage message, long nowNanos, Outbox out) {
        Outbox sender = sender(out);
        if (message instanceof ShareMessage.Ask ask) {
            onAsk(from, ask, nowNanos, sender);
        } else if (message instanceof ShareMessage.Grant grant) {
            onGrant(from, grant, nowNanos, sender);
        } else if (message instanceof ShareMessage.Return back) {
            onReturn(from, back, nowNanos, sender);
        } else if (message instanceof ShareMessage.Heartbeat beat) {
            if (mLeases[beat.shard()].confirms(from, beat.epoch())) {
                sender.send(
                        from.id(),
                        new ShareMessage.HeartbeatAck(
                                beat.shard(), beat.epoch(), beat.sentNanos()));
            }
        } else if (message instanceof ShareMessage.HeartbeatAck ack) {
            mLeases[ack.shard()].onAck(ack);
        } else if (message instanceof ShareMessage.Adopt adopt) {
            onAdopt(adopt, nowNanos, sender);
        } else if (message instanceof ShareMessage.Adopted adopted) {
            mOwners[adopted.shard()].onAdopted(from, adopted, nowNanos);
        } else if (message instanceof ShareMessage.Assign assign) {
            onAssign(from, assign, nowNanos, sender);
        } else if (message instanceof ShareMessage.Assigned assigned) {
            mOwners[shardOf(assigned.customer())].onAssigned(from, assigned, nowNanos);
        } else if (message instanceof ShareMessage.Demand demand) {
            mOwners[shardOf(demand.customer())].onDemand(from, demand, nowNanos);
        }
    }

    private boolean leased(CustomerShare share, long nowNanos) {
        return mLeases[share.shard()].isValid(nowNanos);
    }

    private List<NodeId> lenders(CustomerShare share, long nowNanos) {
        Set<NodeId> lenders = new LinkedHashSet<>();
        Reported report = report(share);
        if (nowNanos - report.mHintsAt < HINTS_NANOS) {
            lenders.addAll(report.mHints);
        }
        ShardLease lease = mLeases[share.shard()];
        if (lease.owner() != null) {
            lenders.add(lease.owner().id());
        }
        lenders.addAll(mPeers.linked());
        lenders.remove(mPeers.self().id());
        lenders.removeIf(id -> mPeers.incarnation(id) == 0);
        return List.copyOf(lenders);
    }

    private void onAdopt(ShareMessage.Adopt adopt, long nowNanos, Outbox out) {
        int shard = adopt.shard();
        ShardLease lease = mLeases[shard];
        boolean valid = lease.isValid(nowNanos);
        if (lease.adopt(adopt, nowNanos)) {
            if (!valid) {
                emptyShares(shard);
            }
            mShares.values().stream()
                    .filter(it -> it.shard() == shard)
                    .forEach(CustomerShare::startEpoch);
            if (!mPeers.isSelf(adopt.owner())) {
                mOwners[shard].resign();
            }
            out.send(
                    adopt.owner().id(), new ShareMessage.Heartbeat(shard, lease.epoch(), nowNanos));
        }
        if (lease.follows(adopt.epoch())) {
            List<Holding> holdings = new ArrayList<>();
            for (CustomerShare share : mShares.values()) {
                if (share.shard() == shard && share.holds()) {
                    ShareMessage.Assigned held = share.report(adopt.epoch());
                    holdings.add(new Holding(share.customer(), held.rate(), held.capacity()));
                }
            }
            out.send(adopt.owner().id(), new ShareMessage.Adopted(shard, adopt.epoch(), holdings));
        }
    }

    private void onAsk(Holder from, ShareMessage.Ask ask, long nowNanos, Outbox out) {
        CustomerShare share = share(ask.customer());
        long amount = leased(share, nowNanos) ? share.lend(ask, from, nowNanos) : 0;
        List<NodeId> holders = List.of();
        long retryAfter = 0;
        if (amount > 0) {
            mActive.add(share);
        } else {
            retryAfter = share.retryAfter(Math.min(ask.amount(), share.largest()));
            Ledger ledger = mOwners[share.shard()].ledger(ask.customer(), nowNanos);
            holders = ledger == null ? List.of() : ledger.richest(from.id(), nowNanos);
        }
        out.send(
                from.id(),
                new ShareMessage.Grant(ask.customer(), ask.loan(), amount, retryAfter, holders));
    }

    private void onAssign(Holder from, ShareMessage.Assign assign, long nowNanos, Outbox out) {
        CustomerShare share = share(assign.customer());
        ShardLease lease = mLeases[share.shard()];
        boolean fromOwner = from.equals(lease.owner());
        if (!fromOwner || !lease.follows(assign.epoch()) || !share.assign(assign, nowNanos)) {
            return;
        }
        out.send(from.id(), share.report(assign.epoch()));
        share.drain(nowNanos, leased(share, nowNanos), mDecisions, sender(out));
    }

    private void onGrant(Holder from, ShareMessage.Grant grant, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(grant.customer());
        if (share == null) {
            return;
        }
        if (!grant.holders().isEmpty()) {
            Reported report = report(share);
            report.mHints = grant.holders();
            report.mHintsAt = nowNanos;
        }
        if (share.borrower().onGrant(grant, nowNanos, out)) {
            share.drain(nowNanos, leased(share, nowNanos), mDecisions, sender(out));
        }
        borrow(share, nowNanos, out);
    }

    private void onReturn(Holder from, ShareMessage.Return back, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(back.customer());
        if (share != null && share.onReturn(back, from)) {
            share.drain(nowNanos, leased(share, nowNanos), mDecisions, sender(out));
        }
    }

    private Reported report(CustomerShare share) {
        return mReports.computeIfAbsent(share.customer(), it -> new Reported());
    }

    private void reportDemand(CustomerShare share, long nowNanos, Outbox out) {
        Reported report = report(share);
        ShardLease lease = mLeases[share.shard()];
        long passed = nowNanos - report.mSentAt;
        if (lease.owner() == null || passed < DEMAND_INTERVAL_NANOS) {
            return;
        }
        long demand = share.demand(nowNanos);
        long level = Math.max(0, share.bucket().level());
        boolean leaving = mStoppingSince != 0;
        boolean moved = Math.abs(demand - report.mRate) * FEW_HOLDERS > report.mRate;
        boolean backlog = share.queued() > 0 || report.mBacklog > 0;
        if (!moved && !backlog && passed < DEMAND_REPEAT_NANOS) {
            return;
        }
        if (demand == 0 && report.mRate == 0 && !backlog && !leaving) {
            return;
        }
        report.mSentAt = nowNanos;
        report.mRate = demand;
        report.mBacklog = share.queued();
        out.send(
                lease.owner().id(),
                new ShareMessage.Demand(
                        share.customer(), demand, share.queued(), share.largest(), level, leaving));
    }

    private void reportShrunk(CustomerShare share, long nowNanos, Outbox out) {
        ShardLease lease = mLeases[share.shard()];
        if (share.shrunk() && lease.owner() != null && lease.follows(lease.epoch())) {
            sender(out).send(lease.owner().id(), share.report(lease.epoch()));
        }
    }

    private Outbox sender(Outbox out) {
        if (out != mSender) {
            mSender.mOut = out;
        }
        return mSender;
    }

    private int shardOf(String customer) {
        return (int) (Peers.weight(SHARDS, new NodeId(customer)) % SHARDS);
    }

    private CustomerShare share(String customer) {
        CustomerShare known = mShares.get(customer);
        if (known != null) {
            return known;
        }
        CustomerShare share =
                new CustomerShare(customer, shardOf(customer), terms(customer), () -> ++mLastLoan);
        mShares.put(customer, share);
        return share;
    }

    private Terms terms(String customer) {
        Resource resource = mResources.get(customer);
        if (resource != null) {
            return terms(0, resource.ratePerSecond(), resource.burst());
        }
        if (mSettings == null) {
            return new Terms(0, 0, 0);
        }
        Optional<CustomerSettings> found = mSettings.customer(customer);
        long revision = mSettings.revision();
        return found.map(it -> terms(revision, it.ratePerSecond(), it.burst()))
                .orElse(new Terms(revision, 0, 0));
    }

    private static Terms terms(long revision, double ratePerSecond, long burst) {
        double rate = Math.min(MAX_RATE_PER_SECOND, Math.max(0, ratePerSecond));
        return new Terms(
                revision,
                (long) (rate * TokenBucket.UNITS_PER_TOKEN),
                Math.max(0, burst) * TokenBucket.UNITS_PER_TOKEN);
    }

    private void tickShare(CustomerShare share, long nowNanos, Outbox out) {
        Outbox sender = sender(out);
        share.tick(nowNanos, sender);
        share.drain(nowNanos, leased(share, nowNanos), mDecisions, sender(out));
        if (share.waiting() > 0) {
            borrow(share, nowNanos, out);
        }
        share.demand(nowNanos);
        reportDemand(share, nowNanos, sender);
        reportShrunk(share, nowNanos, out);
        boolean leaving = mStoppingSince != 0 && share.holds();
        if (share.isIdle() && report(share).mRate == 0 && !leaving) {
            mActive.remove(share);
        }
    }

    /** Keeps messages to this process itself back, to be handled when the present one is done. */
    private final class Sender implements Outbox {
        private Outbox mOut;

        @Override
        public void keyValue(long callId, KeyValueCall call) {
            mOut.keyValue(callId, call);
        }

        @Override
        public void send(NodeId to, Message message) {
            if (to.equals(mPeers.self().id())) {
                mToSelf.add((ShareMessage) message);
            } else {
                mOut.send(to, message);
            }
        }
    }

    private static final class Reported {
        private long mSentAt;
        private long mRate;
        private long mBacklog;
        private List<NodeId> mHints = List.of();
        private long mHintsAt;
    }
}
