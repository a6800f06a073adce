package ebonygw.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTimeTest {
    private static final long SECOND = 1_000_000_000L;

    private final ServiceTime mServiceTime = new ServiceTime();

    @Test
    void theEstimateForALargeRequestIsBoundedAfterOnlySmallResponses() {
        for (int i = 0; i < 100; i++) {
            mServiceTime.onResponse(10, 10, SECOND / 10);
        }

        assertThat(mServiceTime.minNanos(190_000, 0, 1, 1)).isLessThan(SECOND);
    }

    @Test
    void theEstimateIncludesWorkQueuedAhead() {
        for (int i = 0; i < 100; i++) {
            mServiceTime.onResponse(100, 100, SECOND);
        }

        assertThat(mServiceTime.minNanos(100, 10_000, 1, 1)).isGreaterThan(40 * SECOND);
    }

    @Test
    void theEstimateIsZeroBeforeTheFirstResponse() {
        assertThat(mServiceTime.minNanos(1_000_000, 1_000_000, 1, 1)).isZero();
    }
}
