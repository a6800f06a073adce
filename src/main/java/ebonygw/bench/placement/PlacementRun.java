package ebonygw.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.openhft.hashing.LongHashFunction;

/** Runs one strategy over the arrivals of one seed. */
final class PlacementRun {
    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long RESTART_INTERVAL_NANOS = 600 * NANOS_PER_SECOND;
    private static final long LEAVE_INTERVAL_NANOS = 700 * NANOS_PER_SECOND;
    private static final long LEAVE_DURATION_NANOS = 60 * NANOS_PER_SECOND;

    private PlacementRun() {}

    /** Generates the arrivals of a seed. */
    static List<Arrival> arrivals(Scenario scenario, long seed) {
        return ArrivalGenerator.generate(scenario, random(seed));
    }

    /** Returns the factory of a strategy that sends each request to a random replica. */
    static Function<Fleet, PlacementStrategy> randomReplica(long seed) {
        // Another seed than that of the arrivals.
        RandomGenerator random = random(seed ^ 0x5eedL);
        return fleet ->
                new BaselineStrategy(fleet, request -> random.nextInt(fleet.mScenario.replicas()));
    }

    /**
     * Creates a strategy that chooses the replica by rendezvous hashing, that is, the one with the
     * highest hash of adapter and replica, whatever its load.
     */
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

    /**
     * Runs a strategy over all arrivals and returns the results.
     *
     * @param seed seed of the simulated faults
     */
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
            fleet.mLoop.scheduleAt(
                    request.mArrival.atNanos(),
                    () -> {
                        fleet.mMeter.onArrived(request);
                        strategy.onArrival(request);
                    });
        }
        if (scenario.faults()) {
            scheduleFaults(fleet, strategy);
        }
        long end = (scenario.warmUpSeconds() + scenario.measuredSeconds()) * NANOS_PER_SECOND;
        // Runs on after the last arrival until all requests have ended.
        fleet.mLoop.runUntil(end + 4 * Fleet.TIMEOUT_NANOS);
        fleet.mChecker.onFinish(requests);
        int slots = scenario.slots() * scenario.replicas();
        long misses =
                ClairvoyantBound.misses(
                        arrivals, slots, scenario.warmUpSeconds() * NANOS_PER_SECOND);
        return fleet.mMeter.result(fleet.mChecker, misses);
    }

    private static RandomGenerator random(long seed) {
        return RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
    }

    /** Schedules restarts of engines and leaves of targets, in turn and at fixed intervals. */
    private static void scheduleFaults(Fleet fleet, PlacementStrategy strategy) {
        long end =
                (fleet.mScenario.warmUpSeconds() + fleet.mScenario.measuredSeconds())
                        * NANOS_PER_SECOND;
        int engines = fleet.mEngines.size();
        int fault = 0;
        for (long at = RESTART_INTERVAL_NANOS / 2; at < end; at += RESTART_INTERVAL_NANOS) {
            int target = fault++ % engines;
            fleet.mLoop.scheduleAt(
                    at,
                    () -> {
                        fleet.restart(target);
                        strategy.onRestart(target);
                    });
        }
        for (long at = LEAVE_INTERVAL_NANOS / 2; at < end; at += LEAVE_INTERVAL_NANOS) {
            int target = fault++ % engines;
            fleet.mLoop.scheduleAt(at, () -> strategy.onLeaving(target, true));
            fleet.mLoop.scheduleAt(
                    at + LEAVE_DURATION_NANOS, () -> strategy.onLeaving(target, false));
        }
    }
}
