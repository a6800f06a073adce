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
 * Chooses the target of each attempt at an entry.
 *
 * <p>The candidates of an adapter version come from rendezvous hashing over the targets that serve
 * its model, so that all entries agree without exchanging a directory. Among the candidates and the
 * targets known to hold the version, the one with the minimum expected cost is chosen: waiting,
 * loading, distance and billed traffic, less the time that a cached prompt prefix saves. Not
 * thread-safe.
 */
public final class Router {
    /** How long a target that refused as overloaded or unavailable gets no work. */
    private static final long BUSY_BACKOFF_NANOS = 500_000_000L;

    /** How long an attempt sent to a target counts as an expected load of its adapter there. */
    private static final long EXPECTED_LOAD_TTL_NANOS = 3_000_000_000L;

    /** Minimum time between two updates of the marginal rate by the same target. */
    private static final long MARGINAL_RATE_INTERVAL_NANOS = 2_000_000_000L;

    private static final int MIN_REMEMBERED_ADAPTERS = 8_192;
    private static final int REMEMBERED_ADAPTERS_PER_TARGET = 4;

    /** Decayed count below which demand is removed first; doubled until enough is removed. */
    private static final double INITIAL_RARE_COUNT = 0.05;

    /** Fraction of the maximum number of remembered adapters that a removal aims to keep. */
    private static final double KEPT_FRACTION = 0.75;

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
     * @param excluded targets that must not be chosen, such as those of earlier attempts
     * @param deadlineNanos when the response must be complete
     * @param nowNanos the current time
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
        TargetSelection selection =
                new TargetSelection(work, route.regions(), excluded, deadlineNanos, nowNanos);
        selection.mPrefixTarget = mPrefixes.get(work.prefixHash());
        if (work.adapter().isPresent()) {
            AdapterDemand demand = demand(work.adapter().get(), nowNanos);
            if (work.attempt() == 1) {
                demand.mRate.add(1, nowNanos);
            }
            evaluateAdapterTargets(selection, pool, demand);
        }
        if (selection.mBest == null) {
            evaluateAnyTarget(selection, pool);
        }
        return Optional.ofNullable(selection.mBest).map(t -> t.mId);
    }

    /**
     * Returns the recently requested adapter versions that only a leaving target holds, each with
     * the target that receives its work from now on. The most requested versions come first.
     *
     * @param leaving the target that leaves
     * @param max maximum number of adapter versions to return
     * @param nowNanos the current time
     * @return new targets by adapter version, empty if {@code leaving} is unknown
     */
    public Map<AdapterVersion, NodeId> handoverTargets(NodeId leaving, int max, long nowNanos) {
        TargetState target = mTargets.get(leaving);
        Map<AdapterVersion, NodeId> newTargets = new LinkedHashMap<>();
        if (target == null) {
            return newTargets;
        }
        target.mResident.stream()
                .map(mDemands::get)
                .filter(demand -> demand != null && demand.mRate.count(nowNanos) >= 1)
                .filter(demand -> isOnlyHolder(target, demand))
                .sorted(Comparator.comparingDouble(it -> -it.mRate.count(nowNanos)))
                .limit(max)
                .forEach(
                        demand ->
                                firstOtherCandidate(target, demand)
                                        .ifPresent(
                                                other -> newTargets.put(demand.mAdapter, other)));
        return newTargets;
    }

    /** Applies the current membership; targets not listed or in state {@code GONE} are removed. */
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
                onTargetMember(member);
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

    /** Records the end of an attempt; unknown targets are ignored. */
    public void onOutcome(NodeId targetId, Work work, Outcome outcome, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target == null) {
            return;
        }
        target.onEnded();
        if (outcome instanceof Outcome.Completed answered) {
            target.mHealth.onSuccess(nowNanos);
            mPools.get(target.mServes).onLatency(answered.latencyNanos());
        } else if (outcome instanceof Outcome.Failed) {
            target.mHealth.onFailure(nowNanos);
        } else if (outcome instanceof Outcome.Refused refused) {
            onRefused(target, work, refused.refusal().code(), nowNanos);
        }
    }

    /** Discards the reported load and residency of a target after its connection is lost. */
    public void onPeerDown(NodeId targetId, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target != null) {
            target.onDown();
            updateResidency(target, List.of(), List.of(), nowNanos);
        }
    }

    /** Applies a target's report; reports older than the last and unknown targets are ignored. */
    public void onReport(NodeId targetId, long incarnation, TargetReport report, long nowNanos) {
        TargetState target = mTargets.get(targetId);
        if (target == null || !target.onReport(incarnation, report, nowNanos)) {
            return;
        }
        updateResidency(target, report.resident(), report.loading(), nowNanos);
        updateMarginalRate(target, nowNanos);
    }

    /** Records that an attempt was sent; unknown targets are ignored. */
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
                demand.expectLoad(target, nowNanos + EXPECTED_LOAD_TTL_NANOS);
            }
        }
    }

    /** Returns the number of adapter versions whose demand is remembered. */
    public int rememberedAdapters() {
        return mDemands.size();
    }

    /** Returns the estimated number of requests at a target, 0 if it is unknown. */
    public int load(NodeId targetId) {
        TargetState target = mTargets.get(targetId);
        return target == null ? 0 : target.load();
    }

    private AdapterDemand demand(AdapterVersion adapter, long nowNanos) {
        AdapterDemand demand = mDemands.get(adapter);
        if (demand == null) {
            if (mDemands.size() >= maxRememberedAdapters()) {
                removeRareDemands(nowNanos);
            }
            demand = new AdapterDemand(adapter, mOptions.popularityHalfLifeNanos());
            mDemands.put(adapter, demand);
        }
        return demand;
    }

    private void evaluateAdapterTargets(
            TargetSelection selection, TargetPool pool, AdapterDemand demand) {
        if (demand.mCandidatesStale) {
            pool.rankCandidates(demand);
        }
        boolean localHolder = false;
        int holders = 0;
        for (int i = 0; i < demand.mHolders.size(); i++) {
            TargetState holder = demand.mHolders.get(i);
            if (mCosts.evaluate(selection, pool, holder, 0)) {
                holders++;
                localHolder |= holder.mSameRegion;
            }
        }
        long half = mOptions.loadNanos() / 2;
        for (int i = 0; i < demand.mLoadingTargets.size(); i++) {
            localHolder |= demand.mLoadingTargets.get(i).mSameRegion;
            mCosts.evaluate(selection, pool, demand.mLoadingTargets.get(i), half);
        }
        for (int i = 0; i < demand.mExpectedLoads.size(); i++) {
            AdapterDemand.ExpectedLoad load = demand.mExpectedLoads.get(i);
            if (selection.mNowNanos < load.mExpiresNanos) {
                localHolder |= load.mTarget.mSameRegion;
                mCosts.evaluate(selection, pool, load.mTarget, half);
            }
        }
        evaluateLoadCandidates(selection, pool, demand, holders, localHolder);
    }

    private void evaluateLoadCandidates(
            TargetSelection selection,
            TargetPool pool,
            AdapterDemand demand,
            int holders,
            boolean localHolder) {
        if (!localHolder && holders > 0 && demand.mLocalPreferred != null) {
            evaluateLocalCopy(selection, pool, demand);
        }
        if (mOptions.loadNanos() >= selection.mBestCost) {
            return;
        }
        double rate = demand.mRate.perSecond(selection.mNowNanos) * mEntries;
        int wanted = holders == 0 ? 0 : wantedCopies(pool, demand, rate);
        for (int rank = 0; rank < demand.mCandidates.length; rank++) {
            TargetState target = demand.mCandidates[rank];
            long cost = mOptions.loadNanos() * (1 + rank);
            if (rank >= wanted) {
                cost += mOptions.loadPenaltyNanos();
            }
            if (cost < selection.mBestCost && !demand.mHolders.contains(target)) {
                mCosts.evaluate(selection, pool, target, cost);
            }
        }
    }

    /**
     * Evaluates a further copy in this region, if it saves more cross-region cost than the eviction
     * of a little-used adapter from its slot costs.
     */
    private void evaluateLocalCopy(
            TargetSelection selection, TargetPool pool, AdapterDemand demand) {
        double rate = demand.mRate.perSecond(selection.mNowNanos);
        double savedCost = rate * mRegionEntries * mCosts.crossRegionNanos(selection.mWork);
        double evictionCost = pool.mMarginalRate * mEntries * mOptions.loadPenaltyNanos();
        if (savedCost > evictionCost) {
            mCosts.evaluate(selection, pool, demand.mLocalPreferred, 0);
        }
    }

    private void evaluateAnyTarget(TargetSelection selection, TargetPool pool) {
        mCosts.evaluateSample(selection, pool, pool.mLocal);
        mCosts.evaluateSample(selection, pool, pool.mRemote);
        if (selection.mBest == null) {
            selection.mFallback = true;
            mCosts.evaluateSample(selection, pool, pool.mTargets);
        }
    }

    private Optional<NodeId> firstOtherCandidate(TargetState leaving, AdapterDemand demand) {
        if (demand.mCandidatesStale) {
            mPools.get(leaving.mServes).rankCandidates(demand);
        }
        return Arrays.stream(demand.mCandidates)
                .filter(candidate -> candidate != leaving && candidate.isLive())
                .findFirst()
                .map(candidate -> candidate.mId);
    }

    private static boolean isOnlyHolder(TargetState target, AdapterDemand demand) {
        return demand.mLoadingTargets.isEmpty()
                && demand.mHolders.stream().noneMatch(it -> it != target && it.isLive());
    }

    private static boolean isRare(AdapterDemand demand, double limit, long nowNanos) {
        return demand.mHolders.isEmpty()
                && demand.mLoadingTargets.isEmpty()
                && demand.mExpectedLoads.stream().noneMatch(load -> nowNanos < load.mExpiresNanos)
                && demand.mRate.count(nowNanos) < limit;
    }

    /** Returns the maximum number of adapters remembered, not counting those held or loading. */
    private int maxRememberedAdapters() {
        return Math.max(MIN_REMEMBERED_ADAPTERS, REMEMBERED_ADAPTERS_PER_TARGET * mTargets.size());
    }

    private void onRefused(TargetState target, Work work, RefusalCode code, long nowNanos) {
        if (code == RefusalCode.OVERLOADED || code == RefusalCode.UNAVAILABLE) {
            target.onBusy(nowNanos + BUSY_BACKOFF_NANOS);
        }
        if (work.adapter().isPresent()) {
            AdapterDemand demand = mDemands.get(work.adapter().get());
            if (demand != null) {
                demand.mExpectedLoads.removeIf(load -> load.mTarget == target);
            }
        }
    }

    private void onTargetMember(Member member) {
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
        mDemands.values().forEach(d -> d.mCandidatesStale = true);
    }

    /** Removes the least requested adapters, except those that a target holds or loads. */
    private void removeRareDemands(long nowNanos) {
        int kept = (int) (maxRememberedAdapters() * KEPT_FRACTION);
        for (double rare = INITIAL_RARE_COUNT; mDemands.size() > kept && rare < kept; rare *= 2) {
            double limit = rare;
            mDemands.values().removeIf(demand -> isRare(demand, limit, nowNanos));
        }
    }

    private void removeTarget(TargetState target) {
        mTargets.remove(target.mId);
        TargetPool pool = mPools.get(target.mServes);
        pool.remove(target);
        if (pool.mTargets.isEmpty()) {
            mPools.remove(target.mServes);
        }
        for (AdapterDemand demand : mDemands.values()) {
            demand.removeTarget(target);
            demand.mCandidatesStale = true;
        }
    }

    private static String serves(RouteSettings route, AdapterSettings adapterOrNull) {
        if (adapterOrNull != null) {
            return adapterOrNull.model();
        }
        return route.service().isEmpty() ? route.model() : route.service();
    }

    /**
     * Updates the smoothed request rate of the least requested quarter of the resident adapters.
     */
    private void updateMarginalRate(TargetState target, long nowNanos) {
        int quarter = target.mResident.size() / 4;
        if (quarter == 0 || nowNanos < target.mMarginalRateDueNanos) {
            return;
        }
        target.mMarginalRateDueNanos = nowNanos + MARGINAL_RATE_INTERVAL_NANOS;
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

    private void updateResidency(
            TargetState target,
            List<AdapterVersion> resident,
            List<AdapterVersion> loading,
            long nowNanos) {
        if (!resident.equals(target.mResident)) {
            target.mResident.forEach(a -> demand(a, nowNanos).mHolders.remove(target));
            for (AdapterVersion adapter : resident) {
                AdapterDemand demand = demand(adapter, nowNanos);
                demand.mHolders.add(target);
                demand.mExpectedLoads.removeIf(load -> load.mTarget == target);
            }
            target.mResident = resident;
        }
        if (!loading.equals(target.mLoading)) {
            target.mLoading.forEach(a -> demand(a, nowNanos).mLoadingTargets.remove(target));
            loading.forEach(a -> demand(a, nowNanos).mLoadingTargets.add(target));
            target.mLoading = loading;
        }
    }

    /** Returns how many copies keep one adapter within its share of a target's concurrency. */
    private int wantedCopies(TargetPool pool, AdapterDemand demand, double rate) {
        TargetState preferred = demand.mCandidates.length > 0 ? demand.mCandidates[0] : null;
        if (preferred == null) {
            return 1;
        }
        double running = rate * pool.mServiceNanos / 1e9;
        double wanted =
                Math.ceil(running / (preferred.concurrency() * mOptions.maxAdapterUtilisation()));
        return (int) Math.max(1, Math.min(demand.mCandidates.length, wanted));
    }
}
