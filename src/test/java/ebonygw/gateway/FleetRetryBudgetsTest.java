package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);
    private static final int EXTRA = 56;

    private final FleetRetryBudgets mBudgets =
            new FleetRetryBudgets(GatewayFixture.options(), new GatewayOutbox());

    private int withdrawAll() {
        int withdrawn = 0;
        while (mBudgets.tryWithdraw("s", NOW)) {
            withdrawn++;
        }
        return withdrawn;
    }

    @Test
    void oneEntryWithdrawsAtMostTheExtraRetriesOfAWindow() {
        assertThat(withdrawAll()).isBetween(1, EXTRA);
    }

    @Test
    void allEntriesTogetherWithdrawAtMostTheExtraRetriesOfAWindow() {
        mBudgets.onEntries(4);

        assertThat(withdrawAll() * 4).isBetween(4, EXTRA);
    }

    @Test
    void requestsDepositIntoTheBudgetOfTheirService() {
        int before = withdrawAll();
        for (int i = 0; i < 11; i++) {
            mBudgets.deposit("s", NOW);
        }

        assertThat(before).isPositive();
        assertThat(withdrawAll()).isEqualTo(2);
    }

    @Test
    void eachServiceHasItsOwnBudget() {
        withdrawAll();

        assertThat(mBudgets.tryWithdraw("other", NOW)).isTrue();
    }
}
