package ebonygw.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WeightStoreStandInTest {
    private static final long LOAD_NANOS = 250_000_000L;

    @Test
    void loadTimeGrowsProportionallyAboveTheFullSpeedMaximum() {
        WeightStoreStandIn store = new WeightStoreStandIn(0, LOAD_NANOS, 8);
        for (int load = 1; load <= 8; load++) {
            assertThat(store.beginLoad(0)).isEqualTo(LOAD_NANOS);
        }
        for (int load = 9; load <= 16; load++) {
            assertThat(store.beginLoad(0)).isEqualTo((long) (LOAD_NANOS * (load / 8.0)));
        }
        assertThat(store.peakInFlight()).isEqualTo(16);
    }

    @Test
    void loadsStartAtTheConfiguredRate() {
        WeightStoreStandIn store = new WeightStoreStandIn(2, LOAD_NANOS, 8);
        assertThat(store.beginLoad(0)).isEqualTo(LOAD_NANOS);
        assertThat(store.beginLoad(0)).isEqualTo(500_000_000L + LOAD_NANOS);
        assertThat(store.beginLoad(2_000_000_000L)).isEqualTo(LOAD_NANOS);
        assertThat(store.startedLoads()).isEqualTo(3);
    }
}
