package ebonygw.admission;

import ebonygw.admission.ShareMessage.Assign;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The owner's account of one customer's rate and burst: which process holds how much, and how much
 * is free.
 *
 * <p>A holder counts with the larger of the share that it last confirmed and the share that was
 * last sent to it. What processes that have not reported may hold counts as held too. Only the rest
 * is free. Not thread-safe.
 */
final class Ledger {
    private static final long ASSIGN_RESEND_INTERVAL_NANOS = 200_000_000L;
    private static final long MAX_DEMAND_AGE_NANOS = 3_000_000_000L;

    /** The largest requests of all chosen holders may take up to 1/2 of the burst. */
    private static final int LARGEST_REQUESTS_DIVISOR = 2;

    /** Factor for the demand of processes that hold a share, when holders are chosen. */
    private static final int CURRENT_HOLDER_FACTOR = 20;

    /** Shares are raised if more than 1/50 of the customer's rate or burst is free. */
    private static final int MIN_FREE_DIVISOR = 50;

    /** Shares are also raised if they grow by more than 1/100 of the customer's rate or burst. */
    private static final int MIN_RAISE_DIVISOR = 100;

    /** An excess up to 1/50 of the customer's rate or burst does not lower a share. */
    private static final int MIN_EXCESS_DIVISOR = 50;

    /** An excess up to 1/3 of the share does not lower it either. */
    private static final int MIN_HELD_EXCESS_DIVISOR = 3;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_HINTS = 4;

    private final String mCustomer;
    private final Map<Holder, Account> mAccounts = new LinkedHashMap<>();

    /** Holders that have reported at least once. */
    private final Set<Holder> mReporters = new HashSet<>();

    /** The rate, capacity and tokens that no process holds. */
    private final TokenBucket mFreePool = new TokenBucket();

    private Limits mLimits;

    /** Rate that processes that have not reported may hold. */
    private long mUnreportedRate;

    /** Capacity that processes that have not reported may hold. */
    private long mUnreportedCapacity;

    /** Whether all processes that may hold shares were accounted for at some time. */
    private boolean mWasComplete;

    /** Creates a ledger in which processes that have not reported may hold everything. */
    Ledger(String customer, Limits limits) {
        mCustomer = customer;
        mLimits = limits;
        mUnreportedRate = limits.rate();
        mUnreportedCapacity = limits.burst();
    }

    String customer() {
        return mCustomer;
    }

    /** Records the share that a holder reports at the start of an epoch. */
    void onAdopted(Holder holder, Holding holding, long nowNanos) {
        Account account = account(holder);
        account.mRate = holding.rate();
        account.mCapacity = holding.capacity();
        account.mVersion = 0;
        account.mPending = null;
        if (mReporters.add(holder)) {
            mUnreportedRate = Math.max(0, mUnreportedRate - holding.rate());
            mUnreportedCapacity = Math.max(0, mUnreportedCapacity - holding.capacity());
        }
        resizePool(nowNanos);
    }

    /** Drops the pending assigns of the last epoch; what was sent counts as held. */
    void startEpoch() {
        for (Account account : mAccounts.values()) {
            account.mRate = account.rate();
            account.mCapacity = account.capacity();
            account.mPending = null;
        }
    }

    /** Applies a holder's confirmation of an assign, or its report that its share decreased. */
    void onAssigned(Holder from, ShareMessage.Assigned assigned, long nowNanos) {
        Account account = account(from);
        if (assigned.version() != account.mVersion) {
            return;
        }
        long returned = 0;
        if (account.mPending != null) {
            account.mPending = null;
            account.mRate = assigned.rate();
            account.mCapacity = assigned.capacity();
            returned = assigned.returned();
        } else {
            account.mRate = Math.min(account.mRate, assigned.rate());
            account.mCapacity = Math.min(account.mCapacity, assigned.capacity());
        }
        resizePool(nowNanos);
        mFreePool.add(returned);
    }

    /** Records a process's demand. */
    void onDemand(Holder from, ShareMessage.Demand demand, long nowNanos) {
        Account account = account(from);
        account.mDemand = demand;
        account.mDemandAt = nowNanos;
    }

    void onLimits(Limits limits, long nowNanos) {
        mLimits = limits;
        resizePool(nowNanos);
    }

    /** Frees what counted as held by all but the given processes. */
    void retain(Set<Holder> holders, long nowNanos) {
        if (mAccounts.keySet().retainAll(holders)) {
            resizePool(nowNanos);
        }
    }

    /**
     * Frees what counted as held by processes that have not reported, and adds tokens to the free
     * ones.
     */
    void freeUnreported(long tokens, long nowNanos) {
        mWasComplete = true;
        mUnreportedRate = 0;
        mUnreportedCapacity = 0;
        resizePool(nowNanos);
        mFreePool.add(tokens);
    }

    /** Resends unconfirmed assigns, and moves shares towards demand. */
    void tick(Set<Holder> holders, List<Holder> preferred, long nowNanos, Outbox out, long epoch) {
        mFreePool.refill(nowNanos);
        for (Map.Entry<Holder, Account> entry : mAccounts.entrySet()) {
            Account account = entry.getValue();
            if (account.mPending != null
                    && nowNanos - account.mSentAt >= ASSIGN_RESEND_INTERVAL_NANOS) {
                account.mSentAt = nowNanos;
                out.send(entry.getKey().id(), account.mPending);
            }
        }
        Map<Holder, Target> targets = targets(holders, preferred, nowNanos);
        if (targets.isEmpty()) {
            return;
        }
        for (Map.Entry<Holder, Target> entry : targets.entrySet()) {
            lower(entry.getKey(), entry.getValue(), epoch, nowNanos, out);
        }
        for (Map.Entry<Holder, Target> entry : targets.entrySet()) {
            raise(entry.getKey(), entry.getValue(), epoch, nowNanos, out);
        }
    }

    /** Returns holders that probably have tokens, the highest estimated level first. */
    List<NodeId> holdersByLevel(NodeId borrower, long nowNanos) {
        Map<NodeId, Long> levels = new HashMap<>();
        mAccounts.forEach(
                (holder, account) -> {
                    long level = account.estimatedLevel(nowNanos);
                    if (level > 0 && !holder.id().equals(borrower)) {
                        levels.put(holder.id(), level);
                    }
                });
        List<NodeId> order = new ArrayList<>(levels.keySet());
        order.sort(
                Comparator.comparingLong((NodeId id) -> -levels.get(id))
                        .thenComparing(Comparator.naturalOrder()));
        return order.subList(0, Math.min(MAX_HINTS, order.size()));
    }

    /** Returns the free rate, capacity and tokens for a dump. */
    String describeFree() {
        return mFreePool.rate() + "/" + mFreePool.capacity() + "/" + mFreePool.level();
    }

    /** Returns whether a holder holds nothing, and no assign to it is pending. */
    boolean holdsNothing(Holder holder) {
        Account account = mAccounts.get(holder);
        return account == null || account.mPending == null && account.capacity() == 0;
    }

    /** Returns whether every process that may hold a share was accounted for at some time. */
    boolean wasComplete() {
        return mWasComplete;
    }

    private Account account(Holder id) {
        return mAccounts.computeIfAbsent(id, it -> new Account());
    }

    /** Sends a holder its new share, with a proportional part of the free tokens if it grows. */
    private void assign(Holder to, long rate, long capacity, long epoch, long now, Outbox out) {
        Account account = account(to);
        long grown = Math.max(0, capacity - account.capacity());
        long free = mFreePool.capacity();
        long tokens = 0;
        if (grown > 0 && free > 0) {
            tokens =
                    Math.min(
                            grown,
                            (long) (Math.max(0, mFreePool.level()) * (grown / (double) free)));
            mFreePool.debit(tokens);
        }
        account.mVersion++;
        account.mSentAt = now;
        account.mPending =
                new Assign(mCustomer, epoch, account.mVersion, rate, capacity, tokens, mLimits);
        resizePool(now);
        out.send(to.id(), account.mPending);
    }

    private long freeCapacity() {
        long held = mUnreportedCapacity;
        for (Account account : mAccounts.values()) {
            held += account.capacity();
        }
        return Math.max(0, mLimits.burst() - held);
    }

    private long freeRate() {
        long held = mUnreportedRate;
        for (Account account : mAccounts.values()) {
            held += account.rate();
        }
        return Math.max(0, ClockDrift.reduceRate(mLimits.rate()) - held);
    }

    private void lower(Holder to, Target target, long epoch, long now, Outbox out) {
        Account account = account(to);
        if (account.mPending != null) {
            return;
        }
        if (exceedsTarget(account.mRate, target.rate(), mLimits.rate())
                || exceedsTarget(account.mCapacity, target.capacity(), mLimits.burst())) {
            long rate = Math.min(account.mRate, target.rate());
            long capacity = Math.min(account.mCapacity, target.capacity());
            assign(to, rate, capacity, epoch, now, out);
        }
    }

    private void raise(Holder to, Target target, long epoch, long now, Outbox out) {
        Account account = account(to);
        if (account.mPending != null) {
            return;
        }
        long rate = Math.min(freeRate(), Math.max(0, target.rate() - account.mRate));
        long capacity =
                Math.min(freeCapacity(), Math.max(0, target.capacity() - account.mCapacity));
        boolean worthwhile =
                rate * MIN_RAISE_DIVISOR > mLimits.rate()
                        || capacity * MIN_RAISE_DIVISOR > mLimits.burst()
                        || freeRate() * MIN_FREE_DIVISOR > mLimits.rate()
                        || freeCapacity() * MIN_FREE_DIVISOR > mLimits.burst();
        if (rate + capacity > 0 && worthwhile) {
            assign(to, account.mRate + rate, account.mCapacity + capacity, epoch, now, out);
        }
    }

    /** Prefers current holders, since a share accrues nothing while it moves. */
    private long preferredWeight(Holder id, long weight) {
        return account(id).capacity() > 0 ? weight * CURRENT_HOLDER_FACTOR : weight;
    }

    private void resizePool(long nowNanos) {
        mFreePool.resize(freeRate(), freeCapacity(), nowNanos);
    }

    /** Chooses the processes that should hold shares, and divides rate and burst among them. */
    private Map<Holder, Target> targets(Set<Holder> holders, List<Holder> preferred, long now) {
        Map<Holder, Long> weights = new LinkedHashMap<>();
        for (Holder id : holders) {
            weights.put(id, account(id).demandWeight(now));
        }
        List<Holder> order = new ArrayList<>(holders);
        order.sort(
                Comparator.comparingLong((Holder id) -> -preferredWeight(id, weights.get(id)))
                        .thenComparingInt(preferred::indexOf));
        long sum = 0;
        long largestRequests = 0;
        List<Holder> chosen = new ArrayList<>();
        for (Holder id : order) {
            Account account = account(id);
            long largest = account.largestRequest();
            boolean wanted = weights.get(id) > 0;
            if (account.isLeaving() || !chosen.isEmpty() && !wanted) {
                continue;
            }
            if (!chosen.isEmpty()
                    && LARGEST_REQUESTS_DIVISOR * (largestRequests + largest) > mLimits.burst()) {
                continue;
            }
            chosen.add(id);
            sum += weights.get(id);
            largestRequests += largest;
        }
        return divide(holders, chosen, weights, sum, largestRequests);
    }

    private Map<Holder, Target> divide(
            Set<Holder> holders,
            List<Holder> chosen,
            Map<Holder, Long> weights,
            long sum,
            long largestRequests) {
        Map<Holder, Target> targets = new LinkedHashMap<>();
        long rate = ClockDrift.reduceRate(mLimits.rate());
        long spareCapacity = Math.max(0, mLimits.burst() - largestRequests);
        for (Holder id : holders) {
            Account account = account(id);
            if (chosen.contains(id)) {
                double part = sum == 0 ? 1.0 / chosen.size() : weights.get(id) / (double) sum;
                long own = Math.min(account.largestRequest(), mLimits.burst());
                targets.put(
                        id, new Target((long) (rate * part), own + (long) (spareCapacity * part)));
            } else if (sum > 0 || account.isLeaving()) {
                targets.put(id, new Target(0, 0));
            }
        }
        return sum == 0 && mAccounts.values().stream().anyMatch(it -> it.capacity() > 0)
                ? targetsWithoutDemand(targets)
                : targets;
    }

    /** Leaves shares where they are, unless a holder is leaving or half of the burst is free. */
    private Map<Holder, Target> targetsWithoutDemand(Map<Holder, Target> targets) {
        boolean anyLeaving = mAccounts.values().stream().anyMatch(Account::isLeaving);
        if (!anyLeaving && mFreePool.capacity() < mLimits.burst() / 2) {
            return Map.of();
        }
        return targets;
    }

    private static boolean exceedsTarget(long held, long target, long customerLimit) {
        long excess = held - target;
        boolean excessive =
                excess * MIN_EXCESS_DIVISOR > customerLimit
                        && excess * MIN_HELD_EXCESS_DIVISOR > held;
        return target == 0 && held > 0 || excessive;
    }

    /** The share that a process should hold. */
    private record Target(long rate, long capacity) {}

    /** What is known of one process: its confirmed share, its pending assign and its demand. */
    private static final class Account {
        private long mRate;
        private long mCapacity;
        private long mVersion;
        private Assign mPending;
        private long mSentAt;
        private ShareMessage.Demand mDemand;
        private long mDemandAt;

        private long capacity() {
            return mPending == null ? mCapacity : Math.max(mCapacity, mPending.capacity());
        }

        private long demandWeight(long now) {
            if (mDemand == null || isLeaving() || now - mDemandAt > MAX_DEMAND_AGE_NANOS) {
                return 0;
            }
            return mDemand.rate() + mDemand.backlog();
        }

        private long estimatedLevel(long now) {
            if (mDemand == null) {
                return mCapacity;
            }
            if (mDemand.backlog() > 0 && now - mDemandAt < NANOS_PER_SECOND) {
                return 0;
            }
            double grown = mRate * ((now - mDemandAt) / (double) NANOS_PER_SECOND);
            return Math.min(mCapacity, mDemand.level() + (long) grown);
        }

        private boolean isLeaving() {
            return mDemand != null && mDemand.leaving();
        }

        private long largestRequest() {
            return mDemand == null ? 0 : mDemand.largest();
        }

        private long rate() {
            return mPending == null ? mRate : Math.max(mRate, mPending.rate());
        }
    }
}
