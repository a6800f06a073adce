package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.B;
import static ebonygw.admission.ShareTesting.LIMITS;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.admission.ShareMessage.Assign;
import ebonygw.admission.ShareMessage.Assigned;
import ebonygw.admission.ShareMessage.Demand;
import ebonygw.admission.ShareMessage.Holding;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LedgerTest {
    /** Half of the rate that is divided, which is less than the limit by the margin for drift. */
    private static final long HALF_REDUCED_RATE = 499_750;

    private final ShareTesting.SentMessages mSent = new ShareTesting.SentMessages();
    private final Ledger mLedger = new Ledger("c", LIMITS);

    @Test
    void aShareIsReassignedOnlyAfterItsHolderConfirmedTheDecrease() {
        reportHoldings(HALF_REDUCED_RATE * 2, 2_000_000, 0, 0);
        demand(0, 1_000);
        tick(SECOND);
        Assign decrease = mSent.last(Assign.class);
        assertThat(mSent.all(Assign.class)).hasSize(1);
        assertThat(decrease.rate()).isZero();

        tick(2 * SECOND);
        assertThat(mSent.all(Assign.class)).allMatch(it -> it.rate() == 0);

        mLedger.onAssigned(A, new Assigned("c", 1, 1, 0, 0, 0), 2 * SECOND);
        tick(3 * SECOND);
        assertThat(mSent.last(Assign.class).rate()).isEqualTo(HALF_REDUCED_RATE * 2);
    }

    @Test
    void aConfirmationOfAnOlderVersionFreesNothing() {
        reportHoldings(HALF_REDUCED_RATE * 2, 2_000_000, 0, 0);
        demand(0, 1_000);
        tick(SECOND);
        mLedger.onAssigned(A, new Assigned("c", 1, 0, 0, 0, 0), SECOND);
        assertThat(mLedger.describeFree()).startsWith("0/0/");
    }

    @Test
    void whatUnreportedProcessesMayHoldIsNotFree() {
        mLedger.onAdopted(A, new Holding("c", 1_000, 1_000), 0);
        assertThat(mLedger.describeFree()).startsWith("0/0/");
        mLedger.freeUnreported(0, 0);
        assertThat(mLedger.describeFree()).startsWith("998500/1999000/0");
    }

    @Test
    void aRepeatedConfirmationReturnsItsTokensOnce() {
        reportHoldings(HALF_REDUCED_RATE, 1_000_000, HALF_REDUCED_RATE, 1_000_000);
        demand(0, 1_000);
        tick(SECOND);
        Assigned confirmation = new Assigned("c", 1, 1, 0, 0, 700_000);
        mLedger.onAssigned(A, confirmation, SECOND);
        mLedger.onAssigned(A, confirmation, SECOND);
        assertThat(mLedger.describeFree()).isEqualTo("499750/1000000/700000");
    }

    @Test
    void aNewEpochCountsUnconfirmedAssignsAsHeld() {
        reportHoldings(0, 0, 0, 0);
        demand(1_000, 0);
        tick(SECOND);
        assertThat(mSent.last(Assign.class).rate()).isEqualTo(HALF_REDUCED_RATE * 2);
        mLedger.startEpoch();
        assertThat(mLedger.describeFree()).startsWith("0/0/");
    }

    private void demand(long rateOfA, long rateOfB) {
        mLedger.onDemand(A, new Demand("c", rateOfA, 0, 10, 0, false), SECOND);
        mLedger.onDemand(B, new Demand("c", rateOfB, 0, 10, 0, false), SECOND);
    }

    private void reportHoldings(long rateA, long capacityA, long rateB, long capacityB) {
        mLedger.onAdopted(A, new Holding("c", rateA, capacityA), 0);
        mLedger.onAdopted(B, new Holding("c", rateB, capacityB), 0);
        mLedger.freeUnreported(0, 0);
    }

    private void tick(long now) {
        mLedger.tick(Set.of(A, B), List.of(A, B), now, mSent, 1);
    }
}
