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
 * Chooses the target of an attempt by comparing expected times.
 *
 * <p>Stateless but for its options.
 */
final class TargetChooser {
    private final ChooserOptions mOptions;

    TargetChooser(ChooserOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
    }

    /**
     * A choice.
     *
     * @param target the target
     * @param resident whether it can run the request now; else the adapter has to be loaded first
     * @param costNanos its expected cost, with what its work is worth
     * @param startNanos when it is expected to start to answer
     */
    record Choice(GatewayTarget target, boolean resident, long costNanos, long startNanos) {}

    /**
     * Chooses among targets of one service.
     *
     * @param request the request
     * @param wantedVersion version of the adapter that it must run on, 0 for any
     * @param targets targets of its service
     * @param excluded identifiers of targets that it was sent to
     * @param awaited identifier of the target where it waits for its adapter, empty if none
     * @param tokensOfOthers tokens that a request of another entry has to have read on average
     * @param nowNanos the present time
     * @return the cheapest one, null if no target can take it
     */
    Choice choose(
            GatewayRequest request,
            long wantedVersion,
            Collection<GatewayTarget> targets,
            Set<String> excluded,
            String awaited,
            long tokensOfOthers,
            long nowNanos) {
        List<GatewayTarget> usable = new ArrayList<>();
        for (GatewayTarget target : targets) {
            if (target.isUsable(nowNanos) && !excluded.contains(target.record().id())) {
                usable.add(target);
            }
        }
        boolean waits =
                usable.stream()
                        .anyMatch(it -> it.record().id().equals(awaited) && canLoad(it, request));
        Choice best = null;
        boolean ranked = !request.adapter().isEmpty();
        if (ranked) {
            usable.sort(byRank(request.adapter()));
        }
        for (int rank = 0; rank < usable.size(); rank++) {
            Choice choice =
                    consider(
                            request,
                            wantedVersion,
                            usable.get(rank),
                            ranked ? rank : 0,
                            waits ? awaited : "",
                            tokensOfOthers,
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

    private static Comparator<GatewayTarget> byRank(String adapter) {
        return Comparator.comparingLong(
                target ->
                        LongHashFunction.xx().hashChars(target.record().address() + ' ' + adapter));
    }

    /** Returns whether the adapter of a request can be loaded at a target. */
    private static boolean canLoad(GatewayTarget target, GatewayRequest request) {
        return !request.adapter().isEmpty()
                && target.loaderUp()
                && target.record().models().containsKey(request.model());
    }

    private Choice consider(
            GatewayRequest request,
            long wantedVersion,
            GatewayTarget target,
            int rank,
            String awaited,
            long tokensOfOthers,
            long nowNanos) {
        long cost = distanceNanos(target.record().locality());
        int load = target.load(nowNanos);
        int slots = target.slots();
        if (request.model().isEmpty()) {
            long over = Math.max(0, load + 1 - slots);
            cost += mOptions.workNanos() * over / slots + mOptions.workNanos() * load / slots / 2;
            return new Choice(target, true, cost, 0);
        }
        boolean resident = isResident(target, request, wantedVersion, nowNanos);
        if (!resident) {
            if (!canLoad(target, request)) {
                return null;
            }
            cost += loadNanos(target, request.adapter(), rank);
            boolean waitsHere = target.record().id().equals(awaited);
            // Whoever moves from queue to queue comes last in each.
            if (!waitsHere && !awaited.isEmpty() && target.openPlaces() < 1) {
                return null;
            }
            cost -= waitsHere ? mOptions.stayNanos() : 0;
        }
        String owner = request.adapter().isEmpty() ? request.model() : request.adapter();
        long unread =
                request.promptTokens() - target.prompts().cached(owner, request.promptParts());
        long tokens = Math.max(0, unread) + target.unstartedTokens(tokensOfOthers, nowNanos);
        long start = tokens * mOptions.prefillNanosPerToken();
        cost += start;
        cost += mOptions.fullNanos() * load / slots / 2;
        if (load >= slots) {
            cost += mOptions.fullNanos() * (1 + load - slots);
        }
        return new Choice(target, resident, cost, start);
    }

    private long loadNanos(GatewayTarget target, String adapter, int rank) {
        if (target.isLoading(adapter)) {
            return mOptions.loadingNanos();
        }
        long queued =
                target.loads() * mOptions.queuedLoadNanos()
                        + Math.max(0, 1 - target.openPlaces()) * mOptions.placeNanos();
        return target.heldOfLate(adapter)
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
