package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A load in which a few requests in a hundred share a prompt part that crashes each replica that
 * responds to it, beside sound requests with the same key and the same other parts.
 */
class CrashingPromptTest {
    /** Time in which entries in touch have to learn what others know: the bound of the platform. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int CRASHES = 5;
    private static final int ALLOWED_ARRIVALS = 3;
    private static final String CRASHING = "crash";
    private static final int ENTRIES = 4;
    private static final int REPLICAS = 9;

    private final List<String> mSound = new ArrayList<>();
    private final List<String> mCrashing = new ArrayList<>();
    private SplittableRandom mRandom = new SplittableRandom(1);

    private GatewayFleet fleet(long seed) {
        mRandom = new SplittableRandom(seed);
        GatewayFleet fleet = new GatewayFleet(seed, ENTRIES, REPLICAS);
        fleet.mCrashingParts.add(CRASHING);
        return fleet;
    }

    /** Sends 40 sound requests a second and, if wanted, 2.5 that crash their replica. */
    private void load(GatewayFleet fleet, long millis, boolean crashing) {
        for (long passed = 0; passed < millis; passed += 25) {
            String first = "first" + mRandom.nextInt(3);
            String second = "second" + mRandom.nextInt(30);
            mSound.add(submit(fleet, first, second, "own"));
            if (crashing && passed % 400 == 0) {
                mCrashing.add(submit(fleet, first, CRASHING, "own"));
            }
            fleet.run(25);
        }
    }

    private String submit(GatewayFleet fleet, String first, String second, String last) {
        List<String> entries = List.copyOf(fleet.mEntries.keySet());
        String entry = entries.get(mRandom.nextInt(entries.size()));
        return fleet.submit(
                entry, GatewayFleet.prompt(first, second, last + mRandom.nextInt(1 << 30)));
    }

    private static void assertBounded(GatewayFleet fleet) {
        if (fleet.mCrashes.size() >= CRASHES) {
            long fifthNanos = fleet.mCrashes.get(CRASHES - 1).nanos();
            assertThat(fleet.arrivalsAfter(fifthNanos + CONTACT_NANOS, CRASHING))
                    .isLessThanOrEqualTo(ALLOWED_ARRIVALS);
        }
    }

    // Guards against requests with one prompt part that crash replica after replica.
    @Test
    void requestsWithAPartThatCrashesReplicasAreRefusedAfterAFewCrashes() {
        GatewayFleet fleet = fleet(1);
        load(fleet, 3_000, false);

        load(fleet, 20_000, true);

        assertThat(fleet.mCrashes).hasSizeGreaterThanOrEqualTo(1);
        assertBounded(fleet);
        assertThat(fleet.mOutcomes.get(mCrashing.get(mCrashing.size() - 1)).refusal().verdict())
                .isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void soundRequestsWithTheSameKeyAndFirstPartAreServedMeanwhile() {
        GatewayFleet fleet = fleet(2);
        load(fleet, 3_000, false);

        load(fleet, 20_000, true);

        assertBounded(fleet);
        assertThat(blockedSound(fleet)).isEmpty();
    }

    @Test
    void replicasThatEndForOtherReasonsBlockNothing() {
        GatewayFleet fleet = fleet(3);
        load(fleet, 3_000, false);

        for (int i = 0; i < 6; i++) {
            fleet.crashReplicas(i % REPLICAS, 3);
            load(fleet, 2_500, false);
        }

        assertThat(blockedSound(fleet)).isEmpty();
    }

    @Test
    void entriesThatAllStartAgainKnowTheBlockFromTheStore() {
        GatewayFleet fleet = fleet(4);
        load(fleet, 3_000, false);
        load(fleet, 8_000, true);
        int crashes = fleet.mCrashes.size();

        List.copyOf(fleet.mEntries.keySet()).forEach(name -> fleet.restartEntry(name, 1_500));
        fleet.run(4_000);
        load(fleet, 5_000, true);

        assertThat(fleet.mCrashes).hasSize(crashes);
        assertBounded(fleet);
    }

    @Test
    void anEntryThatStartsWithoutTheStoreIsNotReadyAndTheOthersGoOnRefusing() {
        GatewayFleet fleet = fleet(5);
        load(fleet, 3_000, false);
        fleet.mStoreUp = false;
        load(fleet, 8_000, true);
        int crashes = fleet.mCrashes.size();

        fleet.restartEntry("entry1", 500);
        load(fleet, 5_000, true);

        assertThat(fleet.mEntries.get("entry1").mNode.ready()).isFalse();
        assertThat(fleet.mCrashes).hasSize(crashes);
        assertBounded(fleet);
    }

    @Test
    void anOperatorLiftsABlockByDeletingItsKey() {
        GatewayFleet fleet = fleet(6);
        load(fleet, 3_000, false);
        load(fleet, 8_000, true);
        fleet.mCrashingParts.clear();

        fleet.delete(PromptGuard.KEY_PREFIX + CRASHING);
        fleet.run(1_000);
        String lifted = submit(fleet, "first0", CRASHING, "own");
        fleet.run(1_000);

        assertThat(fleet.mOutcomes.get(lifted).begun()).isTrue();
    }

    private List<String> blockedSound(GatewayFleet fleet) {
        return mSound.stream()
                .filter(
                        id -> {
                            GatewayFleet.Outcome outcome = fleet.mOutcomes.get(id);
                            return outcome != null
                                    && !outcome.begun()
                                    && outcome.refusal().code() == RefusalCode.CRASHING_PROMPT;
                        })
                .toList();
    }
}
