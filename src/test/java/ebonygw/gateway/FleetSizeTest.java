package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetSizeTest {
    private static final long START = TimeUnit.SECONDS.toNanos(100);
    private static final long RECENT_MILLIS = 1_000;
    private static final long OLD_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(FleetSize.MAX_VIEW_AGE_NANOS) + 1;

    private final FleetSize mFleet = new FleetSize();

    @Test
    void anEntryThatHasSeenNothingCountsItselfAndHasNoPart() {
        assertThat(mFleet.entries()).isEqualTo(1);
        assertThat(mFleet.isCertain(START)).isFalse();
    }

    @Test
    void theLargestNumberCountsUntilItWasNotSeenForTheHoldTime() {
        mFleet.onView(5, true, RECENT_MILLIS, START);
        mFleet.onView(2, true, RECENT_MILLIS, START + 1);
        mFleet.onView(3, true, RECENT_MILLIS, START + FleetSize.HOLD_NANOS);
        assertThat(mFleet.entries()).isEqualTo(5);

        mFleet.onView(2, true, RECENT_MILLIS, START + FleetSize.HOLD_NANOS + 1);
        assertThat(mFleet.entries()).isEqualTo(3);
    }

    @Test
    void anEntryHasAPartOnceItsRegistrationHasBeenSeenForTheSettleTime() {
        mFleet.onView(2, true, RECENT_MILLIS, START);

        assertThat(mFleet.isCertain(START + FleetSize.SETTLE_NANOS - 1)).isFalse();
        assertThat(mFleet.isCertain(START + FleetSize.SETTLE_NANOS)).isTrue();
    }

    @Test
    void anOldViewEndsThePartOfAnEntry() {
        long laterNanos = START + FleetSize.SETTLE_NANOS;
        mFleet.onView(2, true, RECENT_MILLIS, START);
        mFleet.onView(2, true, OLD_MILLIS, laterNanos);

        assertThat(mFleet.isCertain(laterNanos)).isFalse();
    }

    @Test
    void anEntryWhoseRegistrationLapsedSettlesAnew() {
        long laterNanos = START + FleetSize.SETTLE_NANOS;
        mFleet.onView(2, true, RECENT_MILLIS, START);
        mFleet.onView(1, false, RECENT_MILLIS, laterNanos);
        mFleet.onView(2, true, RECENT_MILLIS, laterNanos + 1);

        assertThat(mFleet.isCertain(laterNanos + 1)).isFalse();
        assertThat(mFleet.isCertain(laterNanos + 1 + FleetSize.SETTLE_NANOS)).isTrue();
    }
}
