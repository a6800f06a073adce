package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.protocol.Locality;
import ebonygw.spillover.Side;
import ebonygw.spillover.Spillover;
import ebonygw.spillover.SpilloverOptions;
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
        Side local = side(mLocality, targets, times, nowNanos);
        long bytes = targets.isEmpty() ? 0 : bytes(targets.get(0).record().service(), request);
        Map<Locality, Cost> known = new HashMap<>();
        long[] costs = new long[times.length];
        for (int i = 0; i < costs.length; i++) {
            Locality there = targets.get(i).record().locality();
            if (mLocality.sameDataCenter(there)) {
                continue;
            }
            Cost cost = known.get(there);
            if (cost == null) {
                cost = cost(there, targets, times, local, bytes, nowNanos);
                known.put(there, cost);
            }
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

    private Cost cost(
            Locality there,
            List<GatewayTarget> targets,
            long[] times,
            Side local,
            long bytes,
            long nowNanos) {
        Pair pair = new Pair(targets.get(0).record().service(), there);
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
        Side other = side(there, targets, times, nowNanos);
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

    private static Side side(
            Locality locality, List<GatewayTarget> targets, long[] times, long nowNanos) {
        long best = Long.MAX_VALUE;
        boolean full = true;
        boolean fresh = false;
        for (int i = 0; i < times.length; i++) {
            GatewayTarget target = targets.get(i);
            if (times[i] != Long.MAX_VALUE && target.record().locality().sameDataCenter(locality)) {
                best = Math.min(best, times[i]);
                full &= target.load(nowNanos) >= target.slots();
                fresh |= target.loadAgeNanos(nowNanos) <= FRESH_NANOS;
            }
        }
        return new Side(best, full, fresh);
    }

    private static int step(Spillover spillover) {
        return (int) Math.ceil(spillover.fraction() * LOGGED_STEPS);
    }
}
