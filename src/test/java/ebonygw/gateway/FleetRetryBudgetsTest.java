package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetsTest {
    private static final int EXTRA = 56;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long TICK_MILLIS = 50;

    private final FleetSize mFleet = new FleetSize();
    private final FleetRetryBudgets mBudgets =
            new FleetRetryBudgets(GatewayFixture.options(), mFleet, new GatewayOutbox());
    private long mNowNanos = TimeUnit.SECONDS.toNanos(100);

    /** Lets time pass while a number of entries is registered. */
    private void run(int entries, long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
            mFleet.onView(entries, true, 0, mNowNanos);
            mBudgets.onTick(mNowNanos);
        }
    }

    private int withdrawAll() {
        int withdrawn = 0;
        while (mBudgets.tryWithdraw("s", mNowNanos)) {
            withdrawn++;
        }
        return withdrawn;
    }

    @Test
    void aStartedEntryHasNoRetriesUntilRequestsDepositThem() {
        mBudgets.onTick(mNowNanos);

        assertThat(withdrawAll()).isZero();
        for (int i = 0; i < 5; i++) {
            mBudgets.deposit("s", mNowNanos);
        }
        assertThat(withdrawAll()).isZero();
        mBudgets.deposit("s", mNowNanos);
        assertThat(withdrawAll()).isEqualTo(1);
    }

    @Test
    void oneEntryWithdrawsMostOfTheExtraRetriesOfAWindowAndNoMore() {
        run(1, 60_000);

        int withdrawn = withdrawAll();
        for (long passed = 0; passed < WINDOW_MILLIS; passed += TICK_MILLIS) {
            run(1, TICK_MILLIS);
            withdrawn += withdrawAll();
        }

        assertThat(withdrawn).isBetween(EXTRA * 9 / 10, EXTRA);
    }

    @Test
    void allEntriesTogetherWithdrawAtMostTheExtraRetriesOfAWindow() {
        run(4, 60_000);

        assertThat(withdrawAll() * 4).isBetween(4, EXTRA);
    }

    @Test
    void anotherNumberOfEntriesAddsNothingToABalance() {
        run(4, 60_000);
        withdrawAll();

        run(1, TICK_MILLIS);
        run(4, TICK_MILLIS);

        assertThat(withdrawAll()).isZero();
    }

    @Test
    void aLapsedRegistrationCountsForAWhile() {
        run(4, 60_000);
        withdrawAll();

        run(1, WINDOW_MILLIS);

        assertThat(withdrawAll() * 4).isLessThanOrEqualTo(EXTRA / 2);
    }

    @Test
    void anEntryThatDoesNotSeeItsRegistrationHasTheRetriesOfItsRequestsOnly() {
        run(1, 60_000);
        withdrawAll();

        for (long passed = 0; passed < WINDOW_MILLIS; passed += TICK_MILLIS) {
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
            mFleet.onView(1, false, 0, mNowNanos);
            mBudgets.onTick(mNowNanos);
        }

        assertThat(withdrawAll()).isZero();
    }

    @Test
    void requestsDepositIntoTheBudgetOfTheirService() {
        run(1, 60_000);
        int before = withdrawAll();
        for (int i = 0; i < 12; i++) {
            mBudgets.deposit("s", mNowNanos);
        }

        assertThat(before).isPositive();
        assertThat(withdrawAll()).isEqualTo(2);
    }

    @Test
    void eachServiceHasItsOwnBudget() {
        run(1, 60_000);
        withdrawAll();

        assertThat(mBudgets.tryWithdraw("other", mNowNanos)).isTrue();
    }
}
