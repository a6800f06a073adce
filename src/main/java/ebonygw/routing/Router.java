package ebonygw.routing;

import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.RefusalCode;
import ebonygw.request.Work;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.RouteSettings;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses at an entry the target of each attempt.
 *
 * <p>The candidates of an adapter version come from rendezvous hashing over the targets that serve
 * its model, so that all entries agree without exchanging a directory. Among candidates and targets
 * known to hold the version, the least expected cost wins: waiting, loading, distance and billed
 * traffic, less what a cached prompt prefix saves. Not thread-safe.
 */
public final class Router {
    private static final long BUSY_NANOS = 500_000_000L;
    private static final long EXPECTED_LOAD_NANOS = 3_000_000_000L;
    private static final long MARGINAL_RATE_NANOS = 2_000_000_000L;
    private static final int LEAST_ADAPTERS = 8_192;
    private static final int ADAPTERS_PER_TARGET = 4;
    private static final double RARE_COUNT = 0.05;
    private static final double KEPT_PART = 0.75;

    private final RouterOptions mOptions;
    private final Map<NodeId, TargetState> mTargets = new HashMap<>();
    private final Map<String, TargetPool> mPools = new HashMap<>();
    private final Map<AdapterVersion, AdapterDemand> mDemands = new HashMap<>();
    private final PrefixTable mPrefixes = new PrefixTable();
    private final CostModel mCosts;
    private int mRegionEntries = 1;
    private int mEntries = 1;

    /**
     * Creates a router that knows no targets.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public Router(RouterOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mCosts = new CostModel(options);
    }

    /**
     * Chooses the target of an attempt.
     *
     * @param work the attempt
     * @param route its route
     * @param adapterOrNull settings of its adapter, null for plain services and base models
     * @param excluded targets that must not be chosen, such as those tried before
     * @param deadlineNanos when the whole answer is due
     * @param nowNanos the present time
     * @return the target, empty if none can take work
     */
    public Optional<NodeId> choose(
            Work work,
            RouteSettings route,
            AdapterSettings adapterOrNull,
            Set<NodeId> excluded,
            long deadlineNanos,
            long nowNanos) {
        TargetPool pool = mPools.get(serves(route, adapterOrNull));
        if (pool == null) {
            return Optional.empty();
        }
        Choice choice = new Choice(work, route.regions(), excluded, deadlineNanos, nowNanos);
        choice.mPrefixTarget = mPrefixes.get(work.prefixHash());
        if (work.adapter().isPresent()) {
            AdapterDemand demand = demand(work.adapter().get(), nowNanos);
            if (work.attempt() == 1) {
                demand.mRate.add(1, nowNanos);
            }
            considerAdapter(choice, pool, demand);
        }
        if (choice.mBest == null) {
            considerAny(choice, pool);
        }
        return Optional.ofNullable(choice.mBest).map(t -> t.mId);
    }

    /**
     * Returns the adapter versions that only a leaving target holds, and where work on each goes
     * from now on; those asked for most come first.
     *
     * @param leaving the target that leaves
     * @param most most adapter versions to return
     * @param nowNanos the present time
     * @return new homes by adapter version, empty for an unknown target
     */
    public Map<AdapterVersion, NodeId> homesAfter(NodeId leaving, int most, long nowNanos) {
        TargetState target = mTargets.get(leaving);
        Map<AdapterVersion, NodeId> homes = new LinkedHashMap<>();
        if (target == null) {
            return homes;
        }
        target.mResident.stream()
                .map(mDemands::get)
                .filter(demand -> demand != null && demand.mRate.count(nowNanos) >= 1)
                .filter(demand -> isOnlyHolder(target, demand))
                .sorted(Comparator.comparingDouble(it -> -it.mRate.count(nowNanos)))
                .limit(most)
                .forEach(
                        demand ->
                                firstOther(target, demand)
                                        .ifPresent(home -> homes.put(demand.mAdapter, home)));
        return homes;
    }

    /** Takes the members as the membership sees them now; those not listed are gone. */
    public void onMembers(Collection<Member> members, long nowNanos) {
        Set<NodeId> seen = new HashSet<>();
        int regionEntries = 0;
        int entries = 0;
        for (Member member : members) {
            if (member.role() == Role.ENTRY) {
                if (member.state() == MemberState.LIVE || member.id().equals(mOptions.self())) {
                    entries++;
                    regionEntries += member.locality().sameRegion(mOptions.locality()) ? 1 : 0;
                }
            } else if (member.state() != MemberState.GONE) {
                seen.add(member.id());
                onTarget(member);
            }
        }
        mEntries = Math.max(1, entries);
        mRegionEntries = Math.max(1, regionEntries);
        for (NodeId known : List.copyOf(mTargets.keySet())) {
            if (!seen.contains(known)) {
                removeTarget(mTargets.get(known));
            }
        }
    }

    /** Takes the end of an attempt; unknown targets are ignored. */
    public void onOutcome(NodeId targetId, Work work, Outcome outcome, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target == null) {
            return;
        }
        target.onEnded();
        if (outcome instanceof Outcome.Answered answered) {
            target.mHealth.onSuccess(nowNanos);
            mPools.get(target.mServes).onLatency(answered.latencyNanos());
        } else if (outcome instanceof Outcome.Failed) {
            target.mHealth.onFailure(nowNanos);
        } else if (outcome instanceof Outcome.Refused refused) {
            onRefused(target, work, refused.refusal().code(), nowNanos);
        }
    }

    /** Takes note that the link to a target is lost: its load and reports are unknown. */
    public void onPeerDown(NodeId targetId, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target != null) {
            target.onDown();
            setHeld(target, List.of(), List.of(), nowNanos);
        }
    }

    /** Takes a target's report; older ones than the last and unknown targets are ignored. */
    public void onReport(NodeId targetId, long incarnation, TargetReport report, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target == null || !target.onReport(incarnation, report, nowNanos)) {
            return;
        }
        setHeld(target, report.resident(), report.loading(), nowNanos);
        updateMarginalRate(target, nowNanos);
    }

    /** Takes note that an attempt was sent. */
    public void onSent(NodeId targetId, Work work, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target == null) {
            return;
        }
        target.onSent();
        mPrefixes.put(work.prefixHash(), target);
        if (work.adapter().isPresent()) {
            AdapterDemand demand = demand(work.adapter().get(), nowNanos);
            if (!demand.mHolders.contains(target)) {
                demand.expect(target, nowNanos + EXPECTED_LOAD_NANOS);
            }
        }
    }

    /** Returns for how many adapter versions the demand is remembered. */
    public int remembered() {
        return mDemands.size();
    }

    /** Returns the requests that are believed to be at a target, 0 if it is not known. */
    public int load(NodeId targetId) {
        TargetState target = mTargets.get(targetId);
        return target == null ? 0 : target.load();
    }

    private void considerAdapter(Choice choice, TargetPool pool, AdapterDemand demand) {
        if (demand.mStale) {
            pool.rank(demand);
        }
        boolean localHolder = false;
        int holders = 0;
        for (int i = 0; i < demand.mHolders.size(); i++) {
            TargetState holder = demand.mHolders.get(i);
            if (mCosts.consider(choice, pool, holder, 0)) {
                holders++;
                localHolder |= holder.mSameRegion;
            }
        }
        long half = mOptions.loadNanos() / 2;
        for (int i = 0; i < demand.mLoaders.size(); i++) {
            localHolder |= demand.mLoaders.get(i).mSameRegion;
            mCosts.consider(choice, pool, demand.mLoaders.get(i), half);
        }
        for (int i = 0; i < demand.mExpected.size(); i++) {
            AdapterDemand.ExpectedLoad load = demand.mExpected.get(i);
            if (choice.mNowNanos < load.mUntilNanos) {
                localHolder |= load.mTarget.mSameRegion;
                mCosts.consider(choice, pool, load.mTarget, half);
            }
        }
        considerAbsent(choice, pool, demand, holders, localHolder);
    }

    private void considerAbsent(
            Choice choice,
            TargetPool pool,
            AdapterDemand demand,
            int holders,
            boolean localHolder) {
        if (!localHolder && holders > 0 && demand.mLocalHome != null) {
            considerLocalCopy(choice, pool, demand);
        }
        if (mOptions.loadNanos() >= choice.mBestCost) {
            return;
        }
        double rate = demand.mRate.perSecond(choice.mNowNanos) * mEntries;
        int wanted = holders == 0 ? 0 : wantedCopies(pool, demand, rate);
        for (int rank = 0; rank < demand.mCandidates.length; rank++) {
            TargetState target = demand.mCandidates[rank];
            long cost = mOptions.loadNanos() * (1 + rank);
            if (rank >= wanted) {
                cost += mOptions.stallNanos();
            }
            if (cost < choice.mBestCost && !demand.mHolders.contains(target)) {
                mCosts.consider(choice, pool, target, cost);
            }
        }
    }

    /** Considers a further copy in the region, where billed traffic outweighs the slot's use. */
    private void considerLocalCopy(Choice choice, TargetPool pool, AdapterDemand demand) {
        double rate = demand.mRate.perSecond(choice.mNowNanos);
        double saved = rate * mRegionEntries * mCosts.regionNanos(choice.mWork);
        double lost = pool.mMarginalRate * mEntries * mOptions.stallNanos();
        if (saved > lost) {
            mCosts.consider(choice, pool, demand.mLocalHome, 0);
        }
    }

    private void considerAny(Choice choice, TargetPool pool) {
        mCosts.considerWindow(choice, pool, pool.mLocal);
        mCosts.considerWindow(choice, pool, pool.mRemote);
        if (choice.mBest == null) {
            choice.mLastResort = true;
            mCosts.considerWindow(choice, pool, pool.mTargets);
        }
    }

    private AdapterDemand demand(AdapterVersion adapter, long nowNanos) {
        AdapterDemand demand = mDemands.get(adapter);
        if (demand == null) {
            if (mDemands.size() >= mostAdapters()) {
                forgetRare(nowNanos);
            }
            demand = new AdapterDemand(adapter, mOptions.popularityHalfLifeNanos());
            mDemands.put(adapter, demand);
        }
        return demand;
    }

    /** Forgets the adapters asked for least, but for those that a target holds or loads. */
    private void forgetRare(long nowNanos) {
        int kept = (int) (mostAdapters() * KEPT_PART);
        for (double rare = RARE_COUNT; mDemands.size() > kept && rare < kept; rare *= 2) {
            double limit = rare;
            mDemands.values().removeIf(demand -> isRare(demand, limit, nowNanos));
        }
    }

    private Optional<NodeId> firstOther(TargetState leaving, AdapterDemand demand) {
        if (demand.mStale) {
            mPools.get(leaving.mServes).rank(demand);
        }
        return Arrays.stream(demand.mCandidates)
                .filter(candidate -> candidate != leaving && candidate.isLive())
                .findFirst()
                .map(candidate -> candidate.mId);
    }

    private static boolean isOnlyHolder(TargetState target, AdapterDemand demand) {
        return demand.mLoaders.isEmpty()
                && demand.mHolders.stream().noneMatch(it -> it != target && it.isLive());
    }

    private static boolean isRare(AdapterDemand demand, double limit, long nowNanos) {
        return demand.mHolders.isEmpty()
                && demand.mLoaders.isEmpty()
                && demand.mExpected.stream().noneMatch(load -> nowNanos < load.mUntilNanos)
                && demand.mRate.count(nowNanos) < limit;
    }

    /** Returns how many adapters' demand is remembered at most, but for those in slots. */
    private int mostAdapters() {
        return Math.max(LEAST_ADAPTERS, ADAPTERS_PER_TARGET * mTargets.size());
    }

    private void onRefused(TargetState target, Work work, RefusalCode code, long nowNanos) {
        if (code == RefusalCode.OVERLOADED || code == RefusalCode.UNAVAILABLE) {
            target.onBusy(nowNanos + BUSY_NANOS);
        }
        if (work.adapter().isPresent()) {
            AdapterDemand demand = mDemands.get(work.adapter().get());
            if (demand != null) {
                demand.mExpected.removeIf(load -> load.mTarget == target);
            }
        }
    }

    private void onTarget(Member member) {
        TargetState known = mTargets.get(member.id());
        if (known != null && known.mServes.equals(member.serves())) {
            boolean moved = !known.mMember.locality().equals(member.locality());
            known.update(member);
            if (!moved) {
                return;
            }
        }
        if (known != null) {
            removeTarget(known);
        }
        TargetState target = new TargetState(member, mOptions);
        mTargets.put(member.id(), target);
        mPools.computeIfAbsent(member.serves(), s -> new TargetPool(mOptions.serviceNanos()))
                .add(target);
        mDemands.values().forEach(d -> d.mStale = true);
    }

    private void removeTarget(TargetState target) {
        mTargets.remove(target.mId);
        TargetPool pool = mPools.get(target.mServes);
        pool.remove(target);
        if (pool.mTargets.isEmpty()) {
            mPools.remove(target.mServes);
        }
        for (AdapterDemand demand : mDemands.values()) {
            demand.forget(target);
            demand.mStale = true;
        }
    }

    private static String serves(RouteSettings route, AdapterSettings adapterOrNull) {
        if (adapterOrNull != null) {
            return adapterOrNull.model();
        }
        return route.service().isEmpty() ? route.model() : route.service();
    }

    private void setHeld(
            TargetState target,
            List<AdapterVersion> resident,
            List<AdapterVersion> loading,
            long nowNanos) {
        if (!resident.equals(target.mResident)) {
            target.mResident.forEach(a -> demand(a, nowNanos).mHolders.remove(target));
            for (AdapterVersion adapter : resident) {
                AdapterDemand demand = demand(adapter, nowNanos);
                demand.mHolders.add(target);
                demand.mExpected.removeIf(load -> load.mTarget == target);
            }
            target.mResident = resident;
        }
        if (!loading.equals(target.mLoading)) {
            target.mLoading.forEach(a -> demand(a, nowNanos).mLoaders.remove(target));
            loading.forEach(a -> demand(a, nowNanos).mLoaders.add(target));
            target.mLoading = loading;
        }
    }

    private void updateMarginalRate(TargetState target, long nowNanos) {
        int quarter = target.mResident.size() / 4;
        if (quarter == 0 || nowNanos < target.mMarginalDueNanos) {
            return;
        }
        target.mMarginalDueNanos = nowNanos + MARGINAL_RATE_NANOS;
        double[] rates = new double[target.mResident.size()];
        for (int i = 0; i < rates.length; i++) {
            rates[i] = demand(target.mResident.get(i), nowNanos).mRate.perSecond(nowNanos);
        }
        Arrays.sort(rates);
        double sum = 0;
        for (int i = 0; i < quarter; i++) {
            sum += rates[i];
        }
        TargetPool pool = mPools.get(target.mServes);
        pool.mMarginalRate += 0.1 * (sum / quarter - pool.mMarginalRate);
    }

    private int wantedCopies(TargetPool pool, AdapterDemand demand, double rate) {
        TargetState home = demand.mCandidates.length > 0 ? demand.mCandidates[0] : null;
        if (home == null) {
            return 1;
        }
        double running = rate * pool.mServiceNanos / 1e9;
        double wanted = Math.ceil(running / (home.concurrency() * mOptions.fullUse()));
        return (int) Math.max(1, Math.min(demand.mCandidates.length, wanted));
    }
}
