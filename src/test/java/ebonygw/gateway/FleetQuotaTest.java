package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {
    private static final long SECOND = 1_000_000_000L;

    private static GatewayCustomer customer(long rate, long burst) {
        return new GatewayCustomer("a", -1, rate, burst, 1, List.of());
    }

    private static FleetQuota quota(long rate, long burst) {
        FleetQuota quota = new FleetQuota(0, 0);
        quota.onSettings(List.of(customer(rate, burst)), 0);
        return quota;
    }

    @Test
    void aCustomerWithoutALimitIsNeverRefused() {
        FleetQuota quota = quota(0, 0);

        assertThat(quota.charge("a", 1_000_000, 0)).isZero();
        assertThat(quota.charge("unknown", 1_000_000, 0)).isZero();
    }

    @Test
    void tokensChargedByOtherEntriesReduceTheQuota() {
        FleetQuota quota = quota(100, 1_000);
        quota.onUsage(Map.of("a", 950L), 0);

        assertThat(quota.charge("a", 100, 0)).isEqualTo(SECOND / 2);
        assertThat(quota.charge("a", 100, SECOND / 2)).isZero();
    }

    @Test
    void anEntryThatReachesNoOtherUsesOnlyItsEqualPart() {
        FleetQuota quota = quota(100, 1_000);
        quota.onEntries(1, 4, 0);

        long admitted = 0;
        for (int tick = 0; tick < 400; tick++) {
            while (quota.charge("a", 5, tick * SECOND / 20) == 0) {
                admitted += 5;
            }
        }

        assertThat(admitted).isBetween(730L, 1_000 / 4 + 20 * 100 / 4 + 5L);
    }

    @Test
    void aRefusedChargeReturnsTheTimeUntilItWouldBeAdmitted() {
        FleetQuota quota = quota(100, 1_000);
        quota.charge("a", 1_000, 0);

        long wait = quota.charge("a", 300, 0);

        assertThat(wait).isEqualTo(3 * SECOND);
        assertThat(quota.charge("a", 300, wait)).isZero();
    }

    @Test
    void aRequestAboveTheBurstIsAdmittedFromAFullBucket() {
        FleetQuota quota = quota(100, 1_000);

        assertThat(quota.charge("a", 1_500, 0)).isZero();
        assertThat(quota.charge("a", 1, SECOND)).isPositive();
    }

    @Test
    void aLowerLimitAppliesImmediately() {
        FleetQuota quota = quota(1_000, 10_000);

        quota.onSettings(List.of(customer(10, 100)), 0);

        assertThat(quota.charge("a", 100, 0)).isZero();
        assertThat(quota.charge("a", 100, 0)).isPositive();
    }

    @Test
    void refundsAreReportedToOtherEntries() {
        FleetQuota quota = quota(100, 1_000);
        quota.charge("a", 300, 0);
        assertThat(quota.drainUnreported()).containsEntry("a", 300L);

        quota.refund("a", 300);

        assertThat(quota.drainUnreported()).containsEntry("a", -300L);
        assertThat(quota.drainUnreported()).isEmpty();
    }
}
