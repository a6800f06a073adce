package ebonygw.gateway;

import ebonygw.eligibility.Ineligibility.Reason;
import ebonygw.eligibility.RegionScope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the target of an attempt by the lowest expected cost.
 *
 * <p>Not thread-safe, as the targets passed in and their learnt speeds are not.
 */
final class TargetChooser {
    /** Cost of a target that cannot load an adapter. */
    private static final long IMPOSSIBLE = Long.MAX_VALUE;

    /**
     * Cost of a target for the requests that should rather go elsewhere while its data centre gets
     * its work back. Above the load of an adapter (600 ms) and another region (100 ms), so that
     * these requests stay away; below the queueing at five requests above full targets, so that
     * they do not overload the others.
     */
    private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ChooserOptions mOptions;
    private final ExpectedTimes mTimes;
    private final DistanceCost mDistance;
    private final Optional<TargetSpeeds> mSpeeds;
    private final Optional<SpilloverCosts> mSpillover;

    /** Creates a chooser whose costs are the constants of the options. */
    TargetChooser(ChooserOptions options) {
        this(options, Optional.empty(), Optional.empty());
    }

    /** Creates a chooser that uses the learnt speeds of services whose targets report theirs. */
    TargetChooser(ChooserOptions options, TargetSpeeds speeds) {
        this(options, Optional.of(speeds), Optional.empty());
    }

    /**
     * Creates a chooser.
     *
     * @param speeds learnt speeds, empty to use the constants for all services
     * @param spillover costs of the distance for services with learnt speeds, empty to use the
     *     constants
     */
    TargetChooser(
            ChooserOptions options,
            Optional<TargetSpeeds> speeds,
            Optional<SpilloverCosts> spillover) {
        mOptions = Objects.requireNonNull(options, "options");
        mTimes = ExpectedTimes.constants(options);
        mDistance = DistanceCost.constants(options);
        mSpeeds = Objects.requireNonNull(speeds, "speeds");
        mSpillover = Objects.requireNonNull(spillover, "spillover");
    }

    /**
     * A chosen target.
     *
     * @param target the target
     * @param resident whether it can run the request now; else the adapter must be loaded first
     * @param costNanos expected cost by {@link ChooserOptions}
     * @param startNanos expected time until the response starts, without a load of the adapter
     */
    record Choice(GatewayTarget target, boolean resident, long costNanos, long startNanos) {
        private Choice plusCost(long nanos) {
            return new Choice(target, resident, costNanos + nanos, startNanos);
        }
    }

    /** Chooses among the targets of one service for a request that may run in all regions. */
    Choice choose(
            GatewayRequest request,
            long wantedVersion,
            Collection<GatewayTarget> targets,
            Set<String> excluded,
            String awaited,
            long meanPrefillTokens,
            long nowNanos) {
        return choose(
                request,
                RegionScope.UNRESTRICTED,
                wantedVersion,
                targets,
                excluded,
                awaited,
                meanPrefillTokens,
                nowNanos);
    }

    /**
     * Chooses among the targets of one service.
     *
     * @param regions where the request may run
     * @param wantedVersion minimum version of the adapter that must run the request, 0 for any
     * @param targets targets of its service
     * @param excluded ids of the targets that it was sent to before
     * @param awaited id of the target at which it waits for its adapter, empty for none
     * @param meanPrefillTokens mean number of tokens to prefill for a request of another entry
     * @param nowNanos the current time
     * @return the cheapest choice, null if no target can run it
     */
    Choice choose(
            GatewayRequest request,
            RegionScope regions,
            long wantedVersion,
            Collection<GatewayTarget> targets,
            Set<String> excluded,
            String awaited,
            long meanPrefillTokens,
            long nowNanos) {
        List<GatewayTarget> usable = new ArrayList<>(targets.size());
        boolean returning = false;
        for (GatewayTarget target : targets) {
            if (!excluded.contains(target.record().id())
                    && (target.ineligibility(regions, nowNanos).isEmpty()
                            || canWaitAtLimited(
                                    target, request, regions, wantedVersion, awaited, nowNanos))) {
                usable.add(target);
                returning |= target.isReturning(nowNanos);
            }
        }
        long requestHash = returning ? request.hash() : 0;
        boolean waits =
                !awaited.isEmpty()
                        && usable.stream()
                                .anyMatch(
                                        it ->
                                                it.record().id().equals(awaited)
                                                        && canLoad(it, request));
        TargetSpeeds.Evaluation learnt =
                mSpeeds.map(it -> it.evaluate(request, usable, meanPrefillTokens, nowNanos))
                        .orElse(null);
        if (learnt != null) {
            return chooseByModel(
                    learnt,
                    request,
                    wantedVersion,
                    usable,
                    waits ? awaited : "",
                    returning,
                    nowNanos);
        }
        Choice best = null;
        boolean ranked = !request.adapter().isEmpty();
        if (ranked) {
            usable.sort(byRank(request.adapter()));
        }
        for (int rank = 0; rank < usable.size(); rank++) {
            Choice choice =
                    evaluate(
                            request,
                            wantedVersion,
                            usable.get(rank),
                            ranked ? rank : 0,
                            waits ? awaited : "",
                            meanPrefillTokens,
                            nowNanos);
            if (choice != null
                    && returning
                    && choice.target().prefersOthers(requestHash, nowNanos)) {
                choice = choice.plusCost(RETURN_NANOS);
            }
            if (choice != null && (best == null || choice.costNanos() < best.costNanos())) {
                best = choice;
            }
        }
        return best;
    }

    /** Returns whether a target can run a request now. */
    static boolean isResident(
            GatewayTarget target, GatewayRequest request, long wantedVersion, long nowNanos) {
        if (request.model().isEmpty()) {
            return true;
        }
        if (!target.record().models().containsKey(request.model())) {
            return false;
        }
        if (request.adapter().isEmpty()) {
            return true;
        }
        long version = target.adapterVersion(request.adapter(), nowNanos);
        return version > 0 && version >= wantedVersion;
    }

    /**
     * Orders targets by a hash of target and adapter (rendezvous hashing), so that all entries
     * prefer the same targets for an adapter.
     */
    private static Comparator<GatewayTarget> byRank(String adapter) {
        return Comparator.comparingLong(target -> target.rankHash(adapter));
    }

    /** Returns whether the adapter of a request can be loaded at a target. */
    private static boolean canLoad(GatewayTarget target, GatewayRequest request) {
        return !request.adapter().isEmpty()
                && target.isLoaderUp()
                && target.record().models().containsKey(request.model());
    }

    /** Returns whether a request may go on to wait at a limited target, or be sent to it. */
    private static boolean canWaitAtLimited(
            GatewayTarget target,
            GatewayRequest request,
            RegionScope regions,
            long wantedVersion,
            String awaited,
            long nowNanos) {
        return target.record().id().equals(awaited)
                && target.ineligibilityReason(regions, nowNanos).filter(Reason::isLimit).isPresent()
                && !target.limit()
                        .orElseThrow()
                        .isClosedToWaiting(
                                isResident(target, request, wantedVersion, nowNanos), nowNanos);
    }

    /** Returns the choice of one target with its cost, null if it cannot run the request. */
    private Choice evaluate(
            GatewayRequest request,
            long wantedVersion,
            GatewayTarget target,
            int rank,
            String awaited,
            long meanPrefillTokens,
            long nowNanos) {
        boolean resident = isResident(target, request, wantedVersion, nowNanos);
        long adapterNanos = resident ? 0 : adapterNanos(request, target, rank, awaited);
        if (adapterNanos == IMPOSSIBLE) {
            return null;
        }
        long prefillTokens = 0;
        if (!request.model().isEmpty()) {
            String cacheOwner = request.adapter().isEmpty() ? request.model() : request.adapter();
            long uncached =
                    request.promptTokens()
                            - target.promptCache().cachedTokens(cacheOwner, request.promptParts());
            prefillTokens =
                    Math.max(0, uncached) + target.prefillTokens(meanPrefillTokens, nowNanos);
        }
        ExpectedTimes.Times times =
                mTimes.of(request, target, prefillTokens, target.load(nowNanos), nowNanos);
        long cost =
                mDistance.nanos(request, target, nowNanos) + adapterNanos + times.completionNanos();
        return new Choice(target, resident, cost, times.startNanos());
    }

    /**
     * Returns the cost of an adapter that is not resident at a target, less the bonus of the target
     * at which the request waits; {@link #IMPOSSIBLE} if the target cannot load it or may not get
     * the request.
     */
    private long adapterNanos(
            GatewayRequest request, GatewayTarget target, int rank, String awaited) {
        if (!canLoad(target, request)) {
            return IMPOSSIBLE;
        }
        boolean waitsHere = target.record().id().equals(awaited);
        // A request that moves is queued last at its new target, so it moves to an open slot
        // only.
        if (!waitsHere && !awaited.isEmpty() && target.openAdapterSlots() < 1) {
            return IMPOSSIBLE;
        }
        return loadNanos(target, request.adapter(), rank)
                - (waitsHere ? mOptions.moveThresholdNanos() : 0);
    }

    /**
     * Chooses by the learnt speeds. Among targets that can run the request now a draw decides
     * between nearly equal costs. An adapter that must be loaded goes to the target of lowest cost,
     * so that all entries have it loaded at the same one.
     */
    private Choice chooseByModel(
            TargetSpeeds.Evaluation learnt,
            GatewayRequest request,
            long wantedVersion,
            List<GatewayTarget> usable,
            String awaited,
            boolean returning,
            long nowNanos) {
        int count = usable.size();
        long[] residentCosts = new long[count];
        boolean allResident = true;
        for (int i = 0; i < count; i++) {
            boolean resident = isResident(usable.get(i), request, wantedVersion, nowNanos);
            residentCosts[i] = resident ? learnt.completionNanos(i) : Long.MAX_VALUE;
            allResident &= resident;
        }
        long[] distances = distances(request, usable, residentCosts, nowNanos);
        if (returning) {
            addReturnCosts(request, usable, distances, nowNanos);
        }
        int best = -1;
        long bestCost = Long.MAX_VALUE;
        boolean[] resident = new boolean[count];
        for (int i = 0; i < count; i++) {
            resident[i] = residentCosts[i] != Long.MAX_VALUE;
            if (resident[i] && distances[i] != SpilloverCosts.EXCLUDED) {
                residentCosts[i] += distances[i];
                if (residentCosts[i] < bestCost) {
                    bestCost = residentCosts[i];
                    best = i;
                }
            } else {
                residentCosts[i] = Long.MAX_VALUE;
            }
        }
        // A request whose awaited target may not get it any more waits nowhere.
        String waitsAt = isExcluded(usable, distances, awaited) ? "" : awaited;
        int loading = -1;
        long[] ranks = null;
        for (int i = 0; i < count && !allResident; i++) {
            GatewayTarget target = usable.get(i);
            if (resident[i] || distances[i] == SpilloverCosts.EXCLUDED) {
                continue;
            }
            long adapterNanos = adapterNanos(request, target, 0, waitsAt);
            if (adapterNanos == IMPOSSIBLE) {
                continue;
            }
            long otherNanos = learnt.completionNanos(i) + distances[i];
            // The rank only adds to the cost, so it is not computed for a target that is too
            // expensive without it.
            if (otherNanos + adapterNanos >= bestCost) {
                continue;
            }
            ranks = ranks == null ? ranks(usable, request.adapter()) : ranks;
            int rank = (int) ranks[i];
            long cost = otherNanos + adapterNanos(request, target, rank, waitsAt);
            if (cost < bestCost) {
                bestCost = cost;
                loading = i;
            }
        }
        if (loading >= 0) {
            return new Choice(usable.get(loading), false, bestCost, learnt.startNanos(loading));
        }
        if (best < 0) {
            return null;
        }
        int drawn = learnt.draw(residentCosts, best);
        return new Choice(usable.get(drawn), true, residentCosts[drawn], learnt.startNanos(drawn));
    }

    /** Returns whether a target is among those that may not get the request. */
    private static boolean isExcluded(List<GatewayTarget> targets, long[] distances, String id) {
        for (int i = 0; i < distances.length; i++) {
            if (distances[i] == SpilloverCosts.EXCLUDED
                    && targets.get(i).record().id().equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Adds the cost of targets whose data centre gets its work back. */
    private static void addReturnCosts(
            GatewayRequest request, List<GatewayTarget> targets, long[] costs, long nowNanos) {
        long hash = request.hash();
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] != SpilloverCosts.EXCLUDED
                    && targets.get(i).prefersOthers(hash, nowNanos)) {
                costs[i] += RETURN_NANOS;
            }
        }
    }

    /** Returns the cost of the distance of each target. */
    private long[] distances(
            GatewayRequest request, List<GatewayTarget> targets, long[] times, long nowNanos) {
        if (mSpillover.isPresent()) {
            return mSpillover.get().costs(request, targets, times, nowNanos);
        }
        long[] costs = new long[times.length];
        for (int i = 0; i < costs.length; i++) {
            costs[i] = mDistance.nanos(request, targets.get(i), nowNanos);
        }
        return costs;
    }

    /** Returns the position of each target in the order of {@link #byRank}. */
    private static long[] ranks(List<GatewayTarget> targets, String adapter) {
        long[] ranks = new long[targets.size()];
        for (int i = 0; i < ranks.length; i++) {
            ranks[i] = targets.get(i).rankHash(adapter);
        }
        long[] sorted = ranks.clone();
        Arrays.sort(sorted);
        for (int i = 0; i < ranks.length; i++) {
            ranks[i] = Arrays.binarySearch(sorted, ranks[i]);
        }
        return ranks;
    }

    /** Returns the expected cost of loading an adapter at a target. */
    private long loadNanos(GatewayTarget target, String adapter, int rank) {
        if (target.isLoading(adapter)) {
            return mOptions.loadInProgressNanos();
        }
        long queued =
                target.loadingCount() * mOptions.queuedLoadNanos()
                        + Math.max(0, 1 - target.openAdapterSlots()) * mOptions.slotWaitNanos();
        return target.recentlyHeld(adapter)
                ? mOptions.reloadNanos() + queued
                : mOptions.loadNanos() + queued + rank * mOptions.rankNanos();
    }
}
