package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Retries that get no connection to their target. */
class RetryConnectionTest {
    private static final long FILL_MILLIS = 20_000;
    private static final int UNAVAILABLE = 503;

    private final GatewayFixture mEntry = GatewayFixture.started();

    // Guards against a retry that waits on at a target which accepts no connections.
    @Test
    void aRetryWithoutAConnectionInTimeGoesToAnotherTargetAndIsChargedOnce() {
        mEntry.putManyReplicas();
        mEntry.advance(FILL_MILLIS);
        long exchange = mEntry.submit("/ask/1");
        mEntry.handle(
                new GatewayEvent.ResponseHeld(exchange, 1, UNAVAILABLE, false, Optional.empty()));
        double charged = balance();

        mEntry.advance(TimeUnit.NANOSECONDS.toMillis(FleetRetryBudgets.MAX_CONNECT_NANOS));
        mEntry.handle(
                new GatewayEvent.AttemptFailed(
                        exchange, 2, false, false, false, true, "no connection"));

        List<AttemptTerms> attempts = mEntry.attempts(exchange);
        assertThat(attempts).hasSize(3);
        assertThat(attempts.get(1).maxConnectNanos())
                .isEqualTo(FleetRetryBudgets.MAX_CONNECT_NANOS);
        assertThat(attempts.get(2).instance()).isNotEqualTo(attempts.get(1).instance());
        assertThat(balance()).isGreaterThanOrEqualTo(charged);
    }

    private double balance() {
        Map<?, ?> budgets = (Map<?, ?>) mEntry.mNode.dump(mEntry.mNowNanos).get("retryBudgets");
        return (Double) budgets.get("model");
    }
}
