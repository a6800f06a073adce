package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Retries of a whole fleet while attempts wait for connections to targets. */
class DelayedRetryProperties {
    private static final int SPELLS = 6;

    /** Longest wait for a connection, below the deadline of requests. */
    private static final int MAX_WAIT_MILLIS = 8_000;

    // Guards against retries that are charged to one window and arrive in another one.
    @Property(tries = 10, seed = "47")
    void noWindowHasMoreRetriesThanTheFleetMayMake(@ForAll long seed) {
        RejectedLoad load = new RejectedLoad(seed, RejectedLoad.SHORT_INTERVAL_MILLIS);
        SplittableRandom random = new SplittableRandom(seed);
        load.run(12_000);
        for (int i = 0; i < SPELLS; i++) {
            load.mFleet.mConnectMillis = MAX_WAIT_MILLIS;
            load.run(2_000 + random.nextInt(8_000));
            load.mFleet.mConnectMillis = 0;
            load.run(2_000 + random.nextInt(12_000));
        }

        assertThat(load.maxUse()).isLessThanOrEqualTo(1);
    }
}
