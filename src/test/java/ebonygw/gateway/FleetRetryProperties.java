package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Retries of a whole fleet while entries start again and registrations lapse. */
class FleetRetryProperties {
    private static final int FAULTS = 10;

    // Guards against a retry budget that grows when the number of known entries changes.
    @Property(tries = 40, seed = "17")
    void noWindowHasMoreRetriesThanTheFleetMayMake(@ForAll long seed) {
        RejectedLoad load = new RejectedLoad(seed);
        SplittableRandom random = new SplittableRandom(seed);
        load.run(12_000);
        for (int i = 0; i < FAULTS; i++) {
            injectFault(load, random);
            load.mFleet.mRejecting = random.nextInt(3) > 0;
            load.run(500 + random.nextInt(8_000));
        }

        assertThat(load.maxUse()).isLessThanOrEqualTo(1);
    }

    private static void injectFault(RejectedLoad load, SplittableRandom random) {
        GatewayFleet fleet = load.mFleet;
        String entry = "entry" + random.nextInt(RejectedLoad.ENTRIES);
        switch (random.nextInt(6)) {
            case 0 -> restart(fleet, entry, 300 + random.nextInt(2_000));
            case 1 -> {
                for (int i = 0; i < RejectedLoad.ENTRIES; i++) {
                    restart(fleet, "entry" + i, 500 + random.nextInt(1_000));
                    load.run(i < 2 ? random.nextInt(1_500) : 0);
                }
            }
            case 2 -> restart(fleet, entry, 16_000 + random.nextInt(10_000));
            case 3 -> fleet.mStoreCutEntries.add(entry);
            case 4 -> fleet.mStoreCutEntries.clear();
            default -> fleet.mStoreUp = !fleet.mStoreUp;
        }
    }

    private static void restart(GatewayFleet fleet, String entry, long downMillis) {
        if (fleet.mEntries.containsKey(entry)) {
            fleet.restartEntry(entry, downMillis);
        }
    }
}
