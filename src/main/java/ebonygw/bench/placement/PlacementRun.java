package ebonygw.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.openhft.hashing.LongHashFunction;

/** Runs one strategy over the arrivals of one seed. */
final class PlacementRun {
    private static final String GENERATOR = "L64X128MixRandom";
    private static final long NANOS = 1_000_000_000L;
    private static final long RESTART_EVERY_NANOS = 600 * NANOS;
    private static final long LEAVE_EVERY_NANOS = 700 * NANOS;
    private static final long AWAY_NANOS = 60 * NANOS;

    private PlacementRun() {}

    /** Returns the arrivals of a seed. */
    static List<Arrival> arrivals(Scenario scenario, long seed) {
        return ArrivalTrace.make(scenario, random(seed));
    }

    /** Returns a strategy that sends each request to any replica. */
    static Function<Fleet, PlacementStrategy> randomChoice(long seed) {
        RandomGenerator random = random(seed ^ 0x5eedL);
        return fleet ->
                new BaselineStrategy(fleet, request -> random.nextInt(fleet.mScenario.replicas()));
    }

    /** Chooses the replica with the greatest hash of adapter and replica, whatever its load. */
    static PlacementStrategy rendezvous(Fleet fleet) {
        return new BaselineStrategy(
                fleet,
                request -> {
                    int best = 0;
                    long bestScore = Long.MIN_VALUE;
                    for (int i = 0; i < fleet.mScenario.replicas(); i++) {
                        long score = LongHashFunction.xx(i).hashChars(request.mAdapter.adapter());
                        if (score > bestScore) {
                            best = i;
                            bestScore = score;
                        }
                    }
                    return best;
                });
    }

    /** Runs to the end of all arrivals and returns the figures. */
    static RunResult run(
            Scenario scenario,
            List<Arrival> arrivals,
            Function<Fleet, PlacementStrategy> factory,
            long seed) {
        Fleet fleet = new Fleet(scenario, random(seed ^ 0xfa17L));
        PlacementStrategy strategy = factory.apply(fleet);
        List<Request> requests = new ArrayList<>(arrivals.size());
        strategy.start();
        for (int i = 0; i < arrivals.size(); i++) {
            Request request = fleet.request(arrivals.get(i), i + 1);
            requests.add(request);
            fleet.mLoop.at(
                    request.mArrival.atNanos(),
                    () -> {
                        fleet.mMeter.onArrived(request);
                        strategy.onArrival(request);
                    });
        }
        if (scenario.faults()) {
            planFaults(fleet, strategy);
        }
        long end = (scenario.warmUpSeconds() + scenario.measuredSeconds()) * NANOS;
        fleet.mLoop.runUntil(end + 4 * Fleet.TIMEOUT_NANOS);
        fleet.mChecker.onFinish(requests);
        int slots = scenario.slots() * scenario.replicas();
        long misses = ClairvoyantBound.misses(arrivals, slots, scenario.warmUpSeconds() * NANOS);
        return fleet.mMeter.result(fleet.mChecker, misses);
    }

    private static void planFaults(Fleet fleet, PlacementStrategy strategy) {
        long end = (fleet.mScenario.warmUpSeconds() + fleet.mScenario.measuredSeconds()) * NANOS;
        int engines = fleet.mEngines.size();
        int fault = 0;
        for (long at = RESTART_EVERY_NANOS / 2; at < end; at += RESTART_EVERY_NANOS) {
            int target = fault++ % engines;
            fleet.mLoop.at(
                    at,
                    () -> {
                        fleet.restart(target);
                        strategy.onRestart(target);
                    });
        }
        for (long at = LEAVE_EVERY_NANOS / 2; at < end; at += LEAVE_EVERY_NANOS) {
            int target = fault++ % engines;
            fleet.mLoop.at(at, () -> strategy.onLeaving(target, true));
            fleet.mLoop.at(at + AWAY_NANOS, () -> strategy.onLeaving(target, false));
        }
    }

    private static RandomGenerator random(long seed) {
        return RandomGeneratorFactory.of(GENERATOR).create(seed);
    }
}
