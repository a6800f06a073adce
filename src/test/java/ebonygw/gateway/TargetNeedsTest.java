package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.gateway.GatewayMessage.AdapterNeed;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetNeedsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);
    private static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long USE_INTERVAL = TimeUnit.MILLISECONDS.toNanos(400);

    private final TargetNeeds mNeeds = new TargetNeeds();

    @Test
    void nothingIsToldWithoutAChange() {
        assertThat(mNeeds.due(NOW)).isEmpty();
    }

    @Test
    void anAdapterThatIsAwaitedIsToldAtOnce() {
        mNeeds.waiting("m/a", 3, true);

        assertThat(mNeeds.due(NOW))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 3, 1, 1, 0, 0)));
        assertThat(mNeeds.due(NOW + USE_INTERVAL)).isEmpty();
    }

    @Test
    void changesThatFollowCloselyAreToldTogether() {
        mNeeds.waiting("m/a", 0, true);
        mNeeds.due(NOW);
        mNeeds.waitingEnded("m/a", true);
        mNeeds.sent("m/a");

        assertThat(mNeeds.due(NOW + INTERVAL - 1)).isEmpty();
        assertThat(mNeeds.due(NOW + INTERVAL))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 0, 0, 1, 1)));
    }

    @Test
    void furtherRequestsForAnAdapterInUseAreToldLater() {
        mNeeds.sent("m/a");
        mNeeds.due(NOW);
        mNeeds.sent("m/a");

        assertThat(mNeeds.due(NOW + USE_INTERVAL - 1)).isEmpty();
        assertThat(mNeeds.due(NOW + USE_INTERVAL))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 0, 0, 2, 1)));
    }

    @Test
    void anAdapterOutOfUseIsToldByItsAbsence() {
        mNeeds.sent("m/a");
        mNeeds.due(NOW);
        mNeeds.ended("m/a");
        mNeeds.due(NOW + INTERVAL);
        mNeeds.tellAgain();

        assertThat(mNeeds.due(NOW + 2 * INTERVAL))
                .hasValueSatisfying(needs -> assertThat(needs).isEmpty());
    }

    @Test
    void aRequestThatIsLateStillWaits() {
        mNeeds.waiting("m/a", 0, true);
        mNeeds.late("m/a");

        assertThat(mNeeds.due(NOW))
                .hasValueSatisfying(
                        needs ->
                                assertThat(needs)
                                        .containsExactly(new AdapterNeed("m/a", 0, 1, 0, 0, 0)));
    }
}
