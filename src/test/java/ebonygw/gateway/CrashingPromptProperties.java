package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Prompts that crash replicas while replicas crash for other reasons and entries start again. */
class CrashingPromptProperties {
    private static final int ALLOWED_ARRIVALS = 3;

    /** Wrong refusals that the platform's rules allow on a day: five, and one in 500 requests. */
    private static final int ALLOWED_REFUSALS = 5;

    private static final int REQUESTS_PER_REFUSAL = 500;

    @Property(tries = 25, seed = "13")
    void arrivalsAreBoundedAndSoundRequestsAreServed(@ForAll long seed) {
        CrashingPromptLoad load = new CrashingPromptLoad(seed);
        GatewayFleet fleet = load.mFleet;
        load.run(2_000, false);
        for (int i = 0; i < 8; i++) {
            if (load.mRandom.nextInt(3) == 0) {
                fleet.crashReplicas(load.mRandom.nextInt(CrashingPromptLoad.REPLICAS - 2), 2);
            }
            if (load.mRandom.nextInt(4) == 0
                    && fleet.mEntries.size() == CrashingPromptLoad.ENTRIES) {
                fleet.restartEntry("entry" + load.mRandom.nextInt(CrashingPromptLoad.ENTRIES), 700);
            }
            load.run(2_000, true);
        }

        assertThat(load.lateArrivals()).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
        assertThat(load.refusedSound().size())
                .isLessThanOrEqualTo(ALLOWED_REFUSALS + load.mSound.size() / REQUESTS_PER_REFUSAL);
    }
}
