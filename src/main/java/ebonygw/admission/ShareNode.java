package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
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
 * <p>Each customer's rate and burst are divided into shares of entry processes, which move between
 * them by demand; no tokens are created when they move. All methods take the present time of a
 * monotonic clock whose rate is within 500 parts per million of true time; clocks of different
 * hosts need not agree. Not thread-safe: used on the control thread only.
 */
public final class ShareNode {
    /** Number of shards of customers, each with one owner. */
    public static final int SHARDS = 16;

    private static final int REQUEST_ID_OWNER = 2;

    /** With up to this many lenders, one loan request of a customer is pending at a time. */
    private static final int FEW_LENDERS = 8;

    /** Maximum number of pending loan requests of a customer with more lenders. */
    private static final int MAX_LOAN_REQUESTS = 3;

    /** Demand is reported at once if it has changed by more than 1/8. */
    private static final int DEMAND_CHANGE_DIVISOR = 8;

    private static final long DEMAND_INTERVAL_NANOS = 200_000_000L;
    private static final long DEMAND_RESEND_INTERVAL_NANOS = 1_000_000_000L;
    private static final long HINT_VALIDITY_NANOS = 1_000_000_000L;
    private static final long MAX_RATE_PER_SECOND = 9_000_000L;

    /** Time after which a stop goes on although shares are still held. */
    private static final long HANDOVER_TIMEOUT_NANOS = 5_000_000_000L;

    private final Peers mPeers;
    private final Map<String, Resource> mResources = new LinkedHashMap<>();
    private final KeyValueRequestIds mRequestIds = new KeyValueRequestIds(REQUEST_ID_OWNER);
    private final ShardLease[] mLeases = new ShardLease[SHARDS];
    private final ShardOwner[] mOwners = new ShardOwner[SHARDS];
    private final Map<String, CustomerShare> mShares = new HashMap<>();
    private final Map<String, OwnerExchange> mOwnerExchanges = new HashMap<>();

    /** Shares that need work at each tick. */
    private final Set<CustomerShare> mActive = new LinkedHashSet<>();

    private final List<AdmissionDecision> mDecisions = new ArrayList<>();

    /** Messages of this process to itself, handled after the present event. */
    private final ArrayDeque<ShareMessage> mMessagesToSelf = new ArrayDeque<>();

    private final Sender mSender = new Sender();
    private long mLastLoanId;
    private SettingsView mSettings;
    private boolean mJoined;

    /** When the stop began, 0 if this process is not stopping. */
    private long mStoppingSince;

    private long mNow;

    /**
     * Creates the node of one incarnation of an entry process.
     *
     * @param incarnation the process's incarnation, greater than each earlier one
     * @param resources fleet-wide resources to divide besides customers' tokens; the same on all
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
            mOwners[shard] =
                    new ShardOwner(shard, mPeers, mLeases[shard], mRequestIds, this::limits);
        }
    }

    /**
     * Charges a request's tokens, queues it until there are enough tokens, or refuses it.
     *
     * @param requestId id of the request, 0 or greater, unique in the process
     * @param tokens tokens of its prompt and of its maximum completion, 0 or greater
     * @param deadlineNanos the request's deadline; it does not wait for tokens beyond it
     * @return the outcome; after {@link Admission#WAITING}, {@link #decisions} returns the decision
     * @throws IllegalArgumentException if {@code tokens} or {@code requestId} is negative
     */
    public Admission admit(
            long requestId,
            String customer,
            long tokens,
            long deadlineNanos,
            long nowNanos,
            Outbox out) {
        if (tokens < 0 || requestId < 0) {
            throw new IllegalArgumentException(
                    "request id and tokens must be 0 or greater, got id "
                            + requestId
                            + " and tokens "
                            + tokens);
        }
        CustomerShare share = mShares.get(customer);
        if (share == null) {
            share = share(customer);
        }
        long cost = tokens * TokenBucket.UNITS_PER_TOKEN;
        boolean leased = mStoppingSince == 0 && isLeased(share, nowNanos);
        Admission admission = share.admit(requestId, cost, deadlineNanos, nowNanos, leased);
        mActive.add(share);
        if (admission == Admission.WAITING) {
            borrow(share, nowNanos, out);
            deliverToSelf(nowNanos, out);
        }
        return admission;
    }

    /**
     * Ends a request that waits, or was admitted and did not run; its whole charge is refunded.
     *
     * @param charged tokens that were passed to {@link #admit}
     */
    public void cancel(long requestId, String customer, long charged, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(customer);
        if (share != null && !share.cancel(requestId)) {
            settle(requestId, customer, charged, 0, nowNanos, out);
        }
    }

    /** Returns the decisions on waiting requests made since the last call. */
    public List<AdmissionDecision> decisions() {
        if (mDecisions.isEmpty()) {
            return List.of();
        }
        List<AdmissionDecision> all = List.copyOf(mDecisions);
        mDecisions.clear();
        return all;
    }

    /** Returns the state for operators: shards followed and owned, and customers' shares held. */
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

    /** Returns whether this process has held valid leases of all shards at the same time. */
    public boolean hasJoined() {
        return mJoined;
    }

    /**
     * Returns whether a stop may go on: no share is held, or no other process could take one over,
     * and no shard is owned. After a timeout it may go on in any case.
     */
    public boolean isHandedOver() {
        if (mStoppingSince == 0) {
            return false;
        }
        boolean timedOut = mNow - mStoppingSince > HANDOVER_TIMEOUT_NANOS;
        boolean onlyEntry = mPeers.live().size() == 1;
        for (CustomerShare share : mShares.values()) {
            if (share.holdsShare() && !onlyEntry && !timedOut) {
                return false;
            }
        }
        for (ShardOwner owner : mOwners) {
            if (owner.isOwner() && !timedOut) {
                return false;
            }
        }
        return true;
    }

    /** Handles a response of the key-value service; returns whether the request was this node's. */
    public boolean onKeyValueResponse(
            long requestId, KeyValueResponse response, long nowNanos, Outbox out) {
        if (!mRequestIds.issued(requestId)) {
            return false;
        }
        mNow = nowNanos;
        Outbox sender = sender(out);
        for (ShardOwner owner : mOwners) {
            if (owner.onResponse(requestId, response, nowNanos, sender)) {
                break;
            }
        }
        deliverToSelf(nowNanos, out);
        return true;
    }

    /** Applies a new list of the fleet's processes; only entry processes count. */
    public void onMembers(Collection<Member> members, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onMembers(members);
    }

    /** Handles a message of another entry process or a target process. */
    public void onMessage(
            NodeId from, long incarnation, ShareMessage message, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onReceived(from, incarnation, nowNanos);
        handle(new Holder(from, incarnation, false), message, nowNanos, out);
        deliverToSelf(nowNanos, out);
    }

    /** Handles the loss of a connection to another process. */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onDown(peer, incarnation, nowNanos);
    }

    /** Handles a new connection to another process. */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mPeers.onUp(peer, incarnation, nowNanos);
    }

    /** Applies a new revision of the settings; lower limits are in force on return. */
    public void onSettings(SettingsView settings, long nowNanos, Outbox out) {
        mNow = nowNanos;
        mSettings = settings;
        for (CustomerSettings customer : settings.customers()) {
            share(customer.customer());
        }
        for (CustomerShare share : mShares.values()) {
            share.onLimits(limits(share.customer()), nowNanos);
            reportDecrease(share, nowNanos, out);
        }
        for (ShardOwner owner : mOwners) {
            owner.onLimits(nowNanos);
        }
        deliverToSelf(nowNanos, out);
    }

    /** Runs timed work; call at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mNow = nowNanos;
        Outbox sender = sender(out);
        for (int shard = 0; shard < SHARDS; shard++) {
            if (mLeases[shard].tick(nowNanos, sender)) {
                clearShares(shard);
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
     * @param charged tokens that it was charged
     * @param used tokens that it used, negative if unknown; its whole charge counts then
     */
    public void settle(
            long requestId, String customer, long charged, long used, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(customer);
        if (share == null) {
            return;
        }
        long counted = used < 0 ? charged : used;
        share.settle(
                requestId,
                charged * TokenBucket.UNITS_PER_TOKEN,
                counted * TokenBucket.UNITS_PER_TOKEN,
                nowNanos,
                sender(out));
        if (share.waitingCount() > 0) {
            share.drain(nowNanos, isLeased(share, nowNanos), mDecisions, sender(out));
        }
        deliverToSelf(nowNanos, out);
    }

    /** Starts to hand over all shares and ownerships; each tick continues it. */
    public void stop(long nowNanos, Outbox out) {
        if (mStoppingSince == 0) {
            mStoppingSince = nowNanos;
            mActive.addAll(mShares.values());
        }
        onTick(nowNanos, out);
    }

    /** Requests loans for what waiting requests lack. */
    private void borrow(CustomerShare share, long nowNanos, Outbox out) {
        Borrower borrower = share.borrower();
        long shortfall = share.shortfall(nowNanos, isLeased(share, nowNanos));
        if (shortfall == 0) {
            return;
        }
        long minAmount = share.shortfallForNext(nowNanos, isLeased(share, nowNanos));
        List<NodeId> lenders = lenders(share, nowNanos);
        int maxRequests = lenders.size() > FEW_LENDERS ? MAX_LOAN_REQUESTS : 1;
        Outbox sender = sender(out);
        for (NodeId lender : lenders) {
            if (borrower.pendingRequests() >= maxRequests) {
                return;
            }
            if (borrower.canRequest(lender, nowNanos)) {
                borrower.requestLoan(lender, shortfall, minAmount, nowNanos, sender);
            }
        }
    }

    private void clearShares(int shard) {
        for (CustomerShare share : mShares.values()) {
            if (share.shard() == shard) {
                share.clear();
            }
        }
    }

    private void deliverToSelf(long nowNanos, Outbox out) {
        while (!mMessagesToSelf.isEmpty()) {
            handle(mPeers.self(), mMessagesToSelf.poll(), nowNanos, out);
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
        fields.put("waiting", share.waitingCount());
        String free = mOwners[share.shard()].describeFree(share.customer());
        if (free != null) {
            fields.put("free", free);
        }
        return fields;
    }

    private void handle(Holder from, ShareMessage message, long nowNanos, Outbox out) {
        Outbox sender = sender(out);
        if (message instanceof ShareMessage.LoanRequest request) {
            onLoanRequest(from, request, nowNanos, sender);
        } else if (message instanceof ShareMessage.LoanGrant grant) {
            onLoanGrant(from, grant, nowNanos, sender);
        } else if (message instanceof ShareMessage.LoanReturn loanReturn) {
            onLoanReturn(from, loanReturn, nowNanos, sender);
        } else if (message instanceof ShareMessage.Heartbeat heartbeat) {
            if (mLeases[heartbeat.shard()].canConfirm(from, heartbeat.epoch())) {
                sender.send(
                        from.id(),
                        new ShareMessage.HeartbeatAck(
                                heartbeat.shard(), heartbeat.epoch(), heartbeat.sentNanos()));
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

    private boolean isLeased(CustomerShare share, long nowNanos) {
        return mLeases[share.shard()].isValid(nowNanos);
    }

    /** Returns processes to borrow from: recent hints of the owner, the owner, connected ones. */
    private List<NodeId> lenders(CustomerShare share, long nowNanos) {
        Set<NodeId> lenders = new LinkedHashSet<>();
        OwnerExchange exchange = ownerExchange(share);
        if (nowNanos - exchange.mHintsAt < HINT_VALIDITY_NANOS) {
            lenders.addAll(exchange.mHints);
        }
        ShardLease lease = mLeases[share.shard()];
        if (lease.owner() != null) {
            lenders.add(lease.owner().id());
        }
        lenders.addAll(mPeers.connected());
        lenders.remove(mPeers.self().id());
        lenders.removeIf(id -> mPeers.incarnation(id) == 0);
        return List.copyOf(lenders);
    }

    private Limits limits(String customer) {
        Resource resource = mResources.get(customer);
        if (resource != null) {
            return limits(0, resource.ratePerSecond(), resource.burst());
        }
        if (mSettings == null) {
            return new Limits(0, 0, 0);
        }
        Optional<CustomerSettings> found = mSettings.customer(customer);
        long revision = mSettings.revision();
        return found.map(it -> limits(revision, it.ratePerSecond(), it.burst()))
                .orElse(new Limits(revision, 0, 0));
    }

    private static Limits limits(long revision, double ratePerSecond, long burst) {
        double rate = Math.min(MAX_RATE_PER_SECOND, Math.max(0, ratePerSecond));
        return new Limits(
                revision,
                (long) (rate * TokenBucket.UNITS_PER_TOKEN),
                Math.max(0, burst) * TokenBucket.UNITS_PER_TOKEN);
    }

    private void onAdopt(ShareMessage.Adopt adopt, long nowNanos, Outbox out) {
        int shard = adopt.shard();
        ShardLease lease = mLeases[shard];
        boolean valid = lease.isValid(nowNanos);
        if (lease.adopt(adopt, nowNanos)) {
            if (!valid) {
                clearShares(shard);
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
                if (share.shard() == shard && share.holdsShare()) {
                    ShareMessage.Assigned held = share.report(adopt.epoch());
                    holdings.add(new Holding(share.customer(), held.rate(), held.capacity()));
                }
            }
            out.send(adopt.owner().id(), new ShareMessage.Adopted(shard, adopt.epoch(), holdings));
        }
    }

    private void onAssign(Holder from, ShareMessage.Assign assign, long nowNanos, Outbox out) {
        CustomerShare share = share(assign.customer());
        ShardLease lease = mLeases[share.shard()];
        boolean fromOwner = from.equals(lease.owner());
        if (!fromOwner || !lease.follows(assign.epoch()) || !share.assign(assign, nowNanos)) {
            return;
        }
        out.send(from.id(), share.report(assign.epoch()));
        share.drain(nowNanos, isLeased(share, nowNanos), mDecisions, sender(out));
    }

    private void onLoanGrant(Holder from, ShareMessage.LoanGrant grant, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(grant.customer());
        if (share == null) {
            return;
        }
        if (!grant.holders().isEmpty()) {
            OwnerExchange exchange = ownerExchange(share);
            exchange.mHints = grant.holders();
            exchange.mHintsAt = nowNanos;
        }
        if (share.borrower().onGrant(grant, nowNanos, out)) {
            share.drain(nowNanos, isLeased(share, nowNanos), mDecisions, sender(out));
        }
        borrow(share, nowNanos, out);
    }

    private void onLoanRequest(
            Holder from, ShareMessage.LoanRequest request, long nowNanos, Outbox out) {
        CustomerShare share = share(request.customer());
        long amount = isLeased(share, nowNanos) ? share.lend(request, from, nowNanos) : 0;
        List<NodeId> holders = List.of();
        long retryAfter = 0;
        if (amount > 0) {
            mActive.add(share);
        } else {
            retryAfter = share.retryAfter(Math.min(request.amount(), share.largestRequest()));
            Ledger ledger = mOwners[share.shard()].ledger(request.customer(), nowNanos);
            holders = ledger == null ? List.of() : ledger.holdersByLevel(from.id(), nowNanos);
        }
        out.send(
                from.id(),
                new ShareMessage.LoanGrant(
                        request.customer(), request.loan(), amount, retryAfter, holders));
    }

    private void onLoanReturn(
            Holder from, ShareMessage.LoanReturn loanReturn, long nowNanos, Outbox out) {
        CustomerShare share = mShares.get(loanReturn.customer());
        if (share != null && share.onLoanReturn(loanReturn, from)) {
            share.drain(nowNanos, isLeased(share, nowNanos), mDecisions, sender(out));
        }
    }

    private OwnerExchange ownerExchange(CustomerShare share) {
        return mOwnerExchanges.computeIfAbsent(share.customer(), it -> new OwnerExchange());
    }

    private void reportDecrease(CustomerShare share, long nowNanos, Outbox out) {
        ShardLease lease = mLeases[share.shard()];
        if (share.isBelowReported() && lease.owner() != null && lease.follows(lease.epoch())) {
            sender(out).send(lease.owner().id(), share.report(lease.epoch()));
        }
    }

    private void reportDemand(CustomerShare share, long nowNanos, Outbox out) {
        OwnerExchange exchange = ownerExchange(share);
        ShardLease lease = mLeases[share.shard()];
        long elapsed = nowNanos - exchange.mSentAt;
        if (lease.owner() == null || elapsed < DEMAND_INTERVAL_NANOS) {
            return;
        }
        long demand = share.updateDemand(nowNanos);
        long level = Math.max(0, share.bucket().level());
        boolean leaving = mStoppingSince != 0;
        boolean changed =
                Math.abs(demand - exchange.mSentRate) * DEMAND_CHANGE_DIVISOR > exchange.mSentRate;
        boolean backlog = share.queuedTokens() > 0 || exchange.mSentBacklog > 0;
        if (!changed && !backlog && elapsed < DEMAND_RESEND_INTERVAL_NANOS) {
            return;
        }
        if (demand == 0 && exchange.mSentRate == 0 && !backlog && !leaving) {
            return;
        }
        exchange.mSentAt = nowNanos;
        exchange.mSentRate = demand;
        exchange.mSentBacklog = share.queuedTokens();
        out.send(
                lease.owner().id(),
                new ShareMessage.Demand(
                        share.customer(),
                        demand,
                        share.queuedTokens(),
                        share.largestRequest(),
                        level,
                        leaving));
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
                new CustomerShare(
                        customer, shardOf(customer), limits(customer), () -> ++mLastLoanId);
        mShares.put(customer, share);
        return share;
    }

    private void tickShare(CustomerShare share, long nowNanos, Outbox out) {
        Outbox sender = sender(out);
        share.tick(nowNanos, sender);
        share.drain(nowNanos, isLeased(share, nowNanos), mDecisions, sender(out));
        if (share.waitingCount() > 0) {
            borrow(share, nowNanos, out);
        }
        share.updateDemand(nowNanos);
        reportDemand(share, nowNanos, sender);
        reportDecrease(share, nowNanos, out);
        boolean leaving = mStoppingSince != 0 && share.holdsShare();
        if (share.isIdle() && ownerExchange(share).mSentRate == 0 && !leaving) {
            mActive.remove(share);
        }
    }

    /** Queues messages to this process itself until the present event has been handled. */
    private final class Sender implements Outbox {
        private Outbox mOut;

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
            mOut.sendKeyValueRequest(requestId, request);
        }

        @Override
        public void send(NodeId to, Message message) {
            if (to.equals(mPeers.self().id())) {
                mMessagesToSelf.add((ShareMessage) message);
            } else {
                mOut.send(to, message);
            }
        }
    }

    /** What was last reported to the owner of a customer's shard, and the lenders it named. */
    private static final class OwnerExchange {
        private long mSentAt;
        private long mSentRate;
        private long mSentBacklog;
        private List<NodeId> mHints = List.of();
        private long mHintsAt;
    }
}
