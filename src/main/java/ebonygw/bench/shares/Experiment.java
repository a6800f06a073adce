package ebonygw.bench.shares;

import ebonygw.settings.CustomerSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Runs scenarios on simulated fleets in virtual time. */
final class Experiment {
    /** When requests start, after the fleet's warm-up. */
    private static final long TRAFFIC_START_NANOS = 5 * VirtualFleet.SECOND;

    /** How long the run goes on after the last request, so that waiting requests are decided. */
    private static final long COMPLETION_NANOS = 5 * VirtualFleet.SECOND;

    private Experiment() {}

    /** Runs a scenario once; the same seed gives the same results. */
    static Outcome run(Scenario scenario, long seed, int entries, EntryModel.Factory factory) {
        Traffic traffic = new Traffic(scenario, seed);
        VirtualFleet fleet = new VirtualFleet(seed, entries, factory, true, traffic);
        Map<String, CustomerSettings> customers = new HashMap<>();
        for (Scenario.Load load : scenario.loads()) {
            customers.put(
                    load.customer(),
                    new CustomerSettings(
                            load.customer(), load.ratePerSecond(), load.burst(), 1, 10));
        }
        fleet.warmUp(customers);
        long from = TRAFFIC_START_NANOS;
        long until = from + scenario.seconds() * VirtualFleet.SECOND;
        traffic.start(fleet, from, until);
        if (!scenario.faults().isEmpty()) {
            Random random = new Random(seed * 17 + 3);
            new FaultPlan(fleet, traffic, customers, scenario.faults(), random)
                    .schedule(from, until);
        }
        fleet.run(until + COMPLETION_NANOS);
        return traffic.finish(scenario.name() + " seed=" + seed + " entries=" + entries);
    }
}
