package ebonygw.gateway;

import ebonygw.protocol.Locality;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the target of an attempt by the lowest expected cost.
 *
 * <p>Immutable and thread-safe; the targets passed in are not.
 */
final class TargetChooser {
    private final ChooserOptions mOptions;

    TargetChooser(ChooserOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
    }

    /**
     * A chosen target.
     *
     * @param target the target
     * @param resident whether it can run the request now; else the adapter must be loaded first
     * @param costNanos expected cost by {@link ChooserOptions}
     * @param startNanos expected time until the response starts, without a load of the adapter
     */
    record Choice(GatewayTarget target, boolean resident, long costNanos, long startNanos) {}

    /**
     * Chooses among the targets of one service.
     *
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
            long wantedVersion,
            Collection<GatewayTarget> targets,
            Set<String> excluded,
            String awaited,
            long meanPrefillTokens,
            long nowNanos) {
        List<GatewayTarget> candidates = new ArrayList<>();
        for (GatewayTarget target : targets) {
            boolean usable =
                    target.isUsable(nowNanos)
                            || canWaitAtCold(target, request, wantedVersion, awaited, nowNanos);
            if (usable && !excluded.contains(target.record().id())) {
                candidates.add(target);
            }
        }
        boolean waits =
                candidates.stream()
                        .anyMatch(it -> it.record().id().equals(awaited) && canLoad(it, request));
        Choice best = null;
        boolean ranked = !request.adapter().isEmpty();
        if (ranked) {
            candidates.sort(byRank(request.adapter()));
        }
        for (int rank = 0; rank < candidates.size(); rank++) {
            Choice choice =
                    evaluate(
                            request,
                            wantedVersion,
                            candidates.get(rank),
                            ranked ? rank : 0,
                            waits ? awaited : "",
                            meanPrefillTokens,
                            nowNanos);
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
        return Comparator.comparingLong(
                target ->
                        LongHashFunction.xx().hashChars(target.record().address() + ' ' + adapter));
    }

    /** Returns whether the adapter of a request can be loaded at a target. */
    private static boolean canLoad(GatewayTarget target, GatewayRequest request) {
        return !request.adapter().isEmpty()
                && target.isLoaderUp()
                && target.record().models().containsKey(request.model());
    }

    /** Returns whether a request may go on to wait at a cold target, or be sent to it. */
    private static boolean canWaitAtCold(
            GatewayTarget target,
            GatewayRequest request,
            long wantedVersion,
            String awaited,
            long nowNanos) {
        return target.record().id().equals(awaited)
                && target.unavailability(nowNanos) == GatewayTarget.Unavailability.COLD
                && !target.cold()
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
        long cost = distanceNanos(target.record().locality());
        int load = target.load(nowNanos);
        int slots = target.slots();
        if (request.model().isEmpty()) {
            long excess = Math.max(0, load + 1 - slots);
            cost +=
                    mOptions.plainRequestNanos() * excess / slots
                            + mOptions.plainRequestNanos() * load / slots / 2;
            return new Choice(target, true, cost, 0);
        }
        boolean resident = isResident(target, request, wantedVersion, nowNanos);
        if (!resident) {
            if (!canLoad(target, request)) {
                return null;
            }
            cost += loadNanos(target, request.adapter(), rank);
            boolean waitsHere = target.record().id().equals(awaited);
            // A request that moves is queued last at its new target, so it moves to an open slot
            // only.
            if (!waitsHere && !awaited.isEmpty() && target.openAdapterSlots() < 1) {
                return null;
            }
            cost -= waitsHere ? mOptions.moveThresholdNanos() : 0;
        }
        String cacheOwner = request.adapter().isEmpty() ? request.model() : request.adapter();
        long uncached =
                request.promptTokens()
                        - target.promptCache().cachedTokens(cacheOwner, request.promptParts());
        long tokens = Math.max(0, uncached) + target.prefillTokens(meanPrefillTokens, nowNanos);
        long start = tokens * mOptions.prefillNanosPerToken();
        cost += start;
        cost += mOptions.fullTargetNanos() * load / slots / 2;
        if (load >= slots) {
            cost += mOptions.fullTargetNanos() * (1 + load - slots);
        }
        return new Choice(target, resident, cost, start);
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

    private long distanceNanos(Locality locality) {
        if (!mOptions.locality().sameRegion(locality)) {
            return mOptions.regionNanos();
        }
        return mOptions.locality().sameDataCenter(locality) ? 0 : mOptions.dataCenterNanos();
    }
}
