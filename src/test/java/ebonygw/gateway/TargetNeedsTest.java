package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.gateway.GatewayMessage.AdapterNeed;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetNeedsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);
    private static final long MIN_INTERVAL = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long USAGE_INTERVAL = TimeUnit.MILLISECONDS.toNanos(400);

    private final TargetNeeds mNeeds = new TargetNeeds();

    @Test
    void noMessageIsDueWithoutAChange() {
        assertThat(mNeeds.drainIfDue(NOW)).isEmpty();
    }

    @Test
    void anAwaitedAdapterIsReportedImmediately() {
        mNeeds.onWaiting("m/a", 3, true);

        assertThat(mNeeds.drainIfDue(NOW))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 3, 1, 1, 0, 0)));
        assertThat(mNeeds.drainIfDue(NOW + USAGE_INTERVAL)).isEmpty();
    }

    @Test
    void changesWithinTheMinIntervalAreReportedTogether() {
        mNeeds.onWaiting("m/a", 0, true);
        mNeeds.drainIfDue(NOW);
        mNeeds.onWaitingEnded("m/a", true);
        mNeeds.onRequestSent("m/a");

        assertThat(mNeeds.drainIfDue(NOW + MIN_INTERVAL - 1)).isEmpty();
        assertThat(mNeeds.drainIfDue(NOW + MIN_INTERVAL))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 0, 0, 1, 1)));
    }

    @Test
    void furtherRequestsForAnAdapterInUseAreReportedAtTheUsageInterval() {
        mNeeds.onRequestSent("m/a");
        mNeeds.drainIfDue(NOW);
        mNeeds.onRequestSent("m/a");

        assertThat(mNeeds.drainIfDue(NOW + USAGE_INTERVAL - 1)).isEmpty();
        assertThat(mNeeds.drainIfDue(NOW + USAGE_INTERVAL))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 0, 0, 2, 1)));
    }

    @Test
    void anAdapterNoLongerInUseIsOmittedFromTheNeeds() {
        mNeeds.onRequestSent("m/a");
        mNeeds.drainIfDue(NOW);
        mNeeds.onRequestEnded("m/a");
        mNeeds.drainIfDue(NOW + MIN_INTERVAL);
        mNeeds.markChanged();

        assertThat(mNeeds.drainIfDue(NOW + 2 * MIN_INTERVAL))
                .hasValueSatisfying(needs -> assertThat(needs).isEmpty());
    }

    @Test
    void aRequestThatMissedItsObjectiveStillCountsAsWaiting() {
        mNeeds.onWaiting("m/a", 0, true);
        mNeeds.onObjectiveMissed("m/a");

        assertThat(mNeeds.drainIfDue(NOW))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 1, 0, 0, 0)));
    }
}
