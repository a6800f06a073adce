package ebonygw.bench.shares;

import ebonygw.settings.CustomerSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Runs scenarios on fleets in virtual time. */
final class Experiment {
    private static final long LEAD_NANOS = 5 * VirtualFleet.SECOND;
    private static final long SETTLE_NANOS = 5 * VirtualFleet.SECOND;

    private Experiment() {}

    /** Runs a scenario once; the same seed gives the same figures. */
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
        long from = LEAD_NANOS;
        long until = from + scenario.seconds() * VirtualFleet.SECOND;
        traffic.start(fleet, from, until);
        if (!scenario.faults().isEmpty()) {
            Random random = new Random(seed * 17 + 3);
            new FaultPlan(fleet, traffic, customers, scenario.faults(), random)
                    .schedule(from, until);
        }
        fleet.run(until + SETTLE_NANOS);
        return traffic.finish(scenario.name() + " seed=" + seed + " entries=" + entries);
    }
}
