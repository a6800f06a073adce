package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryDirectoryTest {
    private static final int ENTRIES = 5;
    private static final long TICK_MILLIS = 50;

    // Guards against quotas that are divided among too few entries after an outage of the store.
    @ParameterizedTest
    @ValueSource(ints = {0, 1_000, 2_500, 4_000})
    void entriesWhoseLeasesLapseInAnOutageStayRegisteredForOneAnother(int afterMillis) {
        GatewayFleet fleet = new GatewayFleet(1, ENTRIES, 2);
        fleet.run(10_000 + afterMillis);
        fleet.mStoreUp = false;
        fleet.run(1_500);
        fleet.lapseLeases();
        fleet.mStoreUp = true;

        for (long passed = 0; passed < 8_000; passed += TICK_MILLIS) {
            fleet.run(TICK_MILLIS);
            fleet.mEntries
                    .values()
                    .forEach(
                            entry ->
                                    assertThat(entry.mNode.dump(fleet.nowNanos()))
                                            .containsEntry("entries", ENTRIES));
        }
    }
}
