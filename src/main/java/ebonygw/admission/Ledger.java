package ebonygw.admission;

import ebonygw.admission.ShareMessage.Assign;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Terms;
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
 * The owner's account of one customer's rate and burst: who holds what, and what is free.
 *
 * <p>A holder counts with the larger of what it confirmed and what was sent to it; what may be held
 * by processes that have not reported counts as held. Only the rest is free. Not thread-safe.
 */
final class Ledger {
    private static final long RESEND_NANOS = 200_000_000L;
    private static final long DEMAND_AGE_NANOS = 3_000_000_000L;
    private static final int HOLDER_PARTS = 2;
    private static final int HELD_PREFERENCE = 20;
    private static final int FREE_PARTS = 50;
    private static final int RAISE_PARTS = 100;
    private static final int LOWER_PARTS = 50;
    private static final int LOWER_OWN_PARTS = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MOST_HINTS = 4;

    private final String mCustomer;
    private final Map<Holder, Account> mAccounts = new LinkedHashMap<>();
    private final Set<Holder> mKnown = new HashSet<>();
    private final TokenBucket mPool = new TokenBucket();
    private Terms mTerms;
    private long mUnknownRate;
    private long mUnknownCapacity;
    private boolean mSettled;

    /** Creates a ledger in which everything may be held by processes that have not reported. */
    Ledger(String customer, Terms terms) {
        mCustomer = customer;
        mTerms = terms;
        mUnknownRate = terms.rate();
        mUnknownCapacity = terms.burst();
    }

    String customer() {
        return mCustomer;
    }

    /** Takes in what a holder holds at the start of an epoch. */
    void onAdopted(Holder holder, Holding holding, long nowNanos) {
        Account account = account(holder);
        account.mRate = holding.rate();
        account.mCapacity = holding.capacity();
        account.mVersion = 0;
        account.mPending = null;
        if (mKnown.add(holder)) {
            mUnknownRate = Math.max(0, mUnknownRate - holding.rate());
            mUnknownCapacity = Math.max(0, mUnknownCapacity - holding.capacity());
        }
        resizePool(nowNanos);
    }

    /** Ends what was under way in the last epoch; all that was sent counts as held. */
    void startEpoch() {
        for (Account account : mAccounts.values()) {
            account.mRate = account.rate();
            account.mCapacity = account.capacity();
            account.mPending = null;
        }
    }

    /** Takes in a holder's answer to a change, or its loss of a part of its share. */
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
        mPool.add(returned);
    }

    /** Takes in a process's demand. */
    void onDemand(Holder from, ShareMessage.Demand demand, long nowNanos) {
        Account account = account(from);
        account.mDemand = demand;
        account.mDemandAt = nowNanos;
    }

    void onTerms(Terms terms, long nowNanos) {
        mTerms = terms;
        resizePool(nowNanos);
    }

    /** Takes free what was counted as held by all but the given processes. */
    void retain(Set<Holder> holders, long nowNanos) {
        if (mAccounts.keySet().retainAll(holders)) {
            resizePool(nowNanos);
        }
    }

    /** Takes free what was counted as held by processes that have not reported. */
    void settle(long tokens, long nowNanos) {
        mSettled = true;
        mUnknownRate = 0;
        mUnknownCapacity = 0;
        resizePool(nowNanos);
        mPool.add(tokens);
    }

    /** Sends again what was not confirmed, and moves shares towards demand. */
    void tick(Set<Holder> holders, List<Holder> preferred, long nowNanos, Outbox out, long epoch) {
        mPool.refill(nowNanos);
        for (Map.Entry<Holder, Account> entry : mAccounts.entrySet()) {
            Account account = entry.getValue();
            if (account.mPending != null && nowNanos - account.mSentAt >= RESEND_NANOS) {
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

    /** Returns holders that probably have tokens, most first. */
    List<NodeId> richest(NodeId asker, long nowNanos) {
        Map<NodeId, Long> levels = new HashMap<>();
        mAccounts.forEach(
                (holder, account) -> {
                    long level = account.estimatedLevel(nowNanos);
                    if (level > 0 && !holder.id().equals(asker)) {
                        levels.put(holder.id(), level);
                    }
                });
        List<NodeId> order = new ArrayList<>(levels.keySet());
        order.sort(
                Comparator.comparingLong((NodeId id) -> -levels.get(id))
                        .thenComparing(Comparator.naturalOrder()));
        return order.subList(0, Math.min(MOST_HINTS, order.size()));
    }

    /** Returns the rate, capacity and tokens that nobody holds, for a dump. */
    String free() {
        return mPool.rate() + "/" + mPool.capacity() + "/" + mPool.level();
    }

    /** Returns whether a holder's whole share was taken back. */
    boolean isFree(Holder holder) {
        Account account = mAccounts.get(holder);
        return account == null || account.mPending == null && account.capacity() == 0;
    }

    /** Returns whether all of the customer's share was once accounted for. */
    boolean wasSettled() {
        return mSettled;
    }

    private Account account(Holder id) {
        return mAccounts.computeIfAbsent(id, it -> new Account());
    }

    private void assign(Holder to, long rate, long capacity, long epoch, long now, Outbox out) {
        Account account = account(to);
        long grown = Math.max(0, capacity - account.capacity());
        long free = mPool.capacity();
        long tokens = 0;
        if (grown > 0 && free > 0) {
            tokens = Math.min(grown, (long) (Math.max(0, mPool.level()) * (grown / (double) free)));
            mPool.debit(tokens);
        }
        account.mVersion++;
        account.mSentAt = now;
        account.mPending =
                new Assign(mCustomer, epoch, account.mVersion, rate, capacity, tokens, mTerms);
        resizePool(now);
        out.send(to.id(), account.mPending);
    }

    private long freeCapacity() {
        long held = mUnknownCapacity;
        for (Account account : mAccounts.values()) {
            held += account.capacity();
        }
        return Math.max(0, mTerms.burst() - held);
    }

    private long freeRate() {
        long held = mUnknownRate;
        for (Account account : mAccounts.values()) {
            held += account.rate();
        }
        return Math.max(0, Clocks.safeRate(mTerms.rate()) - held);
    }

    private void lower(Holder to, Target target, long epoch, long now, Outbox out) {
        Account account = account(to);
        if (account.mPending != null) {
            return;
        }
        if (above(account.mRate, target.rate(), mTerms.rate())
                || above(account.mCapacity, target.capacity(), mTerms.burst())) {
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
        boolean worth =
                rate * RAISE_PARTS > mTerms.rate()
                        || capacity * RAISE_PARTS > mTerms.burst()
                        || freeRate() * FREE_PARTS > mTerms.rate()
                        || freeCapacity() * FREE_PARTS > mTerms.burst();
        if (rate + capacity > 0 && worth) {
            assign(to, account.mRate + rate, account.mCapacity + capacity, epoch, now, out);
        }
    }

    /** Prefers processes that hold already, since a share that moves accrues nothing meanwhile. */
    private long preference(Holder id, long weight) {
        return account(id).capacity() > 0 ? weight * HELD_PREFERENCE : weight;
    }

    private void resizePool(long nowNanos) {
        mPool.resize(freeRate(), freeCapacity(), nowNanos);
    }

    private Map<Holder, Target> targets(Set<Holder> holders, List<Holder> preferred, long now) {
        Map<Holder, Long> weights = new LinkedHashMap<>();
        for (Holder id : holders) {
            weights.put(id, account(id).weight(now));
        }
        List<Holder> order = new ArrayList<>(holders);
        order.sort(
                Comparator.comparingLong((Holder id) -> -preference(id, weights.get(id)))
                        .thenComparingInt(preferred::indexOf));
        long sum = 0;
        long sized = 0;
        List<Holder> chosen = new ArrayList<>();
        for (Holder id : order) {
            Account account = account(id);
            long largest = account.largest();
            boolean wanted = weights.get(id) > 0;
            if (account.leaving() || !chosen.isEmpty() && !wanted) {
                continue;
            }
            if (!chosen.isEmpty() && HOLDER_PARTS * (sized + largest) > mTerms.burst()) {
                continue;
            }
            chosen.add(id);
            sum += weights.get(id);
            sized += largest;
        }
        return divide(holders, chosen, weights, sum, sized);
    }

    private Map<Holder, Target> divide(
            Set<Holder> holders,
            List<Holder> chosen,
            Map<Holder, Long> weights,
            long sum,
            long sized) {
        Map<Holder, Target> targets = new LinkedHashMap<>();
        long rate = Clocks.safeRate(mTerms.rate());
        long spare = Math.max(0, mTerms.burst() - sized);
        for (Holder id : holders) {
            Account account = account(id);
            if (chosen.contains(id)) {
                double part = sum == 0 ? 1.0 / chosen.size() : weights.get(id) / (double) sum;
                long own = Math.min(account.largest(), mTerms.burst());
                targets.put(id, new Target((long) (rate * part), own + (long) (spare * part)));
            } else if (sum > 0 || account.leaving()) {
                targets.put(id, new Target(0, 0));
            }
        }
        return sum == 0 && mAccounts.values().stream().anyMatch(it -> it.capacity() > 0)
                ? onlyLeaving(targets)
                : targets;
    }

    private Map<Holder, Target> onlyLeaving(Map<Holder, Target> targets) {
        boolean leaving = mAccounts.values().stream().anyMatch(Account::leaving);
        if (!leaving && mPool.capacity() < mTerms.burst() / 2) {
            return Map.of();
        }
        return targets;
    }

    private static boolean above(long held, long target, long whole) {
        long excess = held - target;
        boolean much = excess * LOWER_PARTS > whole && excess * LOWER_OWN_PARTS > held;
        return target == 0 && held > 0 || much;
    }

    private record Target(long rate, long capacity) {}

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

        private long largest() {
            return mDemand == null ? 0 : mDemand.largest();
        }

        private boolean leaving() {
            return mDemand != null && mDemand.leaving();
        }

        private long rate() {
            return mPending == null ? mRate : Math.max(mRate, mPending.rate());
        }

        private long weight(long now) {
            if (mDemand == null || leaving() || now - mDemandAt > DEMAND_AGE_NANOS) {
                return 0;
            }
            return mDemand.rate() + mDemand.backlog();
        }
    }
}
