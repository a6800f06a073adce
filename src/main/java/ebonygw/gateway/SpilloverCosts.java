package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.protocol.Locality;
import ebonygw.spillover.Side;
import ebonygw.spillover.Spillover;
import ebonygw.spillover.SpilloverOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Cost of the distance of targets, by which only the excess load of a data centre leaves it.
 *
 * <p>Not thread-safe.
 */
final class SpilloverCosts {
    /** Cost of a target that may not get a request. */
    static final long EXCLUDED = Long.MAX_VALUE;

    /** Age up to which a reported load says what another data centre can take: a few reports. */
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Bytes of a request's and a response's header fields together. */
    private static final long HEADER_BYTES = 1_000;

    /** Weight of the newest response in the mean number of bytes. */
    private static final double MEAN_WEIGHT = 0.05;

    /** Maximum number of pairs of a service and a data centre: 100 hosts in 6 data centres. */
    private static final int MAX_PAIRS = 256;

    /** Number of steps of the fraction, between which a line is logged. */
    private static final int LOGGED_STEPS = 4;

    private final SpilloverOptions mOptions;
    private final Locality mLocality;
    private final FleetSize mFleet;
    private final GatewayOutbox mOut;
    private final Map<Pair, Spillover> mSpillovers = new LinkedHashMap<>();
    private final Map<String, Double> mResponseBytes = new HashMap<>();

    SpilloverCosts(
            SpilloverOptions options, Locality locality, FleetSize fleet, GatewayOutbox out) {
        mOptions = options;
        mLocality = locality;
        mFleet = fleet;
        mOut = out;
    }

    private record Pair(String service, Locality other) {
        String label() {
            return service + '.' + other.region() + '.' + other.dataCenter();
        }
    }

    /** Cost of the targets of one data centre, and whether they may run the request now. */
    private record Cost(boolean mayRun, long nanos) {}

    /** Returns the numbers of all pairs of a service and another data centre. */
    Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        mSpillovers.forEach(
                (pair, spillover) ->
                        spillover
                                .dump()
                                .forEach(
                                        (key, value) -> dump.put(pair.label() + '.' + key, value)));
        return dump;
    }

    /**
     * Returns the cost of the distance of each target, {@link #EXCLUDED} for those that may not get
     * the request.
     *
     * @param times expected completion at each target that can run the request now, else {@link
     *     Long#MAX_VALUE}
     */
    long[] costs(GatewayRequest request, List<GatewayTarget> targets, long[] times, long nowNanos) {
        long bytes = targets.isEmpty() ? 0 : bytes(targets.get(0).record().service(), request);
        // One pass over the targets; there are only a few data centres.
        List<Locality> places = new ArrayList<>();
        places.add(mLocality);
        List<SideBuilder> sides = new ArrayList<>();
        sides.add(new SideBuilder());
        int[] placeOf = new int[times.length];
        for (int i = 0; i < times.length; i++) {
            GatewayTarget target = targets.get(i);
            int place = indexOf(places, target.record().locality());
            if (place == places.size()) {
                places.add(target.record().locality());
                sides.add(new SideBuilder());
            }
            placeOf[i] = place;
            sides.get(place).add(target, times[i], nowNanos);
        }
        String service = targets.isEmpty() ? "" : targets.get(0).record().service();
        Cost[] known = new Cost[places.size()];
        known[0] = new Cost(true, 0);
        for (int place = 1; place < known.length; place++) {
            Pair pair = new Pair(service, places.get(place));
            known[place] =
                    cost(pair, sides.get(0).side(), sides.get(place).side(), bytes, nowNanos);
        }
        long[] costs = new long[times.length];
        for (int i = 0; i < costs.length; i++) {
            Cost cost = known[placeOf[i]];
            boolean runs = times[i] != Long.MAX_VALUE;
            costs[i] = runs && !cost.mayRun() ? EXCLUDED : cost.nanos();
        }
        return costs;
    }

    /** Handles the end of a response: charges the traffic beyond the expected, learns its size. */
    void onEnded(GatewayTarget target, PendingRequest pending, long responseBytes) {
        String service = target.record().service();
        mResponseBytes.merge(
                service,
                (double) responseBytes,
                (mean, newest) -> mean + MEAN_WEIGHT * (newest - mean));
        Spillover spillover = mSpillovers.get(new Pair(service, target.record().locality()));
        if (spillover != null && pending.mSpilloverBytes > 0) {
            long actual = pending.mRequest.body().size() + HEADER_BYTES + responseBytes;
            spillover.onBytes(actual - pending.mSpilloverBytes);
        }
        pending.mSpilloverBytes = 0;
    }

    /** Handles that a request is sent to a target. */
    void onSent(GatewayTarget target, PendingRequest pending) {
        String service = target.record().service();
        Spillover spillover = mSpillovers.get(new Pair(service, target.record().locality()));
        pending.mSpilloverBytes = spillover == null ? 0 : bytes(service, pending.mRequest);
        if (spillover != null) {
            spillover.onSent(pending.mSpilloverBytes);
        }
    }

    private long bytes(String service, GatewayRequest request) {
        double response = mResponseBytes.getOrDefault(service, 0.0);
        return request.body().size() + HEADER_BYTES + (long) response;
    }

    private Cost cost(Pair pair, Side local, Side other, long bytes, long nowNanos) {
        Locality there = pair.other();
        Spillover spillover = mSpillovers.get(pair);
        if (spillover == null) {
            if (mSpillovers.size() >= MAX_PAIRS) {
                mSpillovers.clear();
            }
            boolean sameRegion = mLocality.sameRegion(there);
            long network = TargetSpeeds.networkNanos(mLocality, there);
            spillover = new Spillover(mOptions, network, sameRegion);
            mSpillovers.put(pair, spillover);
        }
        int before = step(spillover);
        boolean mayLeave = spillover.mayLeave(local, other, bytes, nowNanos);
        if (step(spillover) != before) {
            mOut.log(
                    LogLine.of("spillover_changed")
                            .with("service", pair.service())
                            .with("region", there.region())
                            .with("data_center", there.dataCenter())
                            .with("fraction", Math.round(spillover.fraction() * 100) / 100.0)
                            .with("local_ms", local.completionNanos() / 1_000_000)
                            .with("other_ms", other.completionNanos() / 1_000_000)
                            .with("other_full", other.full())
                            .with("other_fresh", other.fresh()));
        }
        // An entry that does not know how many others share the cap has no part of it.
        boolean capped =
                !spillover.withinCap(
                        bytes, mFleet.isCertain(nowNanos) ? mFleet.entries() : 0, nowNanos);
        if (mayLeave && capped) {
            spillover.onCapped();
        }
        return new Cost(mayLeave && !capped, capped ? EXCLUDED : spillover.costNanos(bytes));
    }

    private static int indexOf(List<Locality> places, Locality place) {
        int index = 0;
        while (index < places.size() && !places.get(index).sameDataCenter(place)) {
            index++;
        }
        return index;
    }

    private static int step(Spillover spillover) {
        return (int) Math.ceil(spillover.fraction() * LOGGED_STEPS);
    }

    /** Collects what is known of the targets of a data centre that can run a request now. */
    private static final class SideBuilder {
        private long mBest = Long.MAX_VALUE;
        private boolean mFull = true;
        private boolean mFresh;

        void add(GatewayTarget target, long nanos, long nowNanos) {
            if (nanos != Long.MAX_VALUE) {
                mBest = Math.min(mBest, nanos);
                mFull &= target.load(nowNanos) >= target.slots(nowNanos);
                mFresh |= target.loadAgeNanos(nowNanos) <= FRESH_NANOS;
            }
        }

        Side side() {
            return new Side(mBest, mFull, mFresh);
        }
    }
}
