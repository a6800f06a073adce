package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.admission.ShareMessage.LoanGrant;
import ebonygw.admission.ShareMessage.LoanReturn;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoanTest {
    private final ShareTesting.SentMessages mSent = new ShareTesting.SentMessages();
    private final TokenBucket mBucket = new TokenBucket();
    private final Lender mLender = new Lender(mBucket);
    private final Borrower mBorrower = new Borrower("c", () -> 7);

    LoanTest() {
        mBucket.resize(0, 100, 0);
        mBucket.add(100);
    }

    @Test
    void aRepeatedLoanRequestLendsOnce() {
        assertThat(lend(60)).isEqualTo(60);
        assertThat(lend(60)).isEqualTo(60);
        assertThat(mBucket.level()).isEqualTo(40);
    }

    @Test
    void aRepeatedReturnCountsOnce() {
        lend(60);
        mLender.onReturn(A.id(), 1, 7, 20, false);
        mLender.onReturn(A.id(), 1, 7, 20, false);
        assertThat(mBucket.level()).isEqualTo(60);
    }

    @Test
    void aLoanReservesCapacityUntilNoRequestCanStartOnIt() {
        lend(100);
        mBucket.resize(1_000, 100, 0);
        mLender.tick(Borrower.LOAN_VALIDITY_NANOS);
        mBucket.refill(Borrower.LOAN_VALIDITY_NANOS);
        assertThat(mBucket.level()).isZero();
        mLender.tick(ClockDrift.withMargin(Borrower.LOAN_VALIDITY_NANOS) + 1);
        mBucket.refill(2 * SECOND);
        assertThat(mBucket.level()).isEqualTo(100);
    }

    @Test
    void aLoanIsNotReturnedToAShareThatWasLost() {
        lend(100);
        mBucket.clear();
        mLender.onShareLost();
        assertThat(mBucket.capacity()).isEqualTo(100);
        mLender.onReturn(A.id(), 1, 7, 100, true);
        assertThat(mBucket.level()).isZero();
        assertThat(mBucket.capacity()).isZero();
    }

    @Test
    void aLoanIsUsableForAFixedTimeFromItsRequestAndThenReturned() {
        mBorrower.requestLoan(A.id(), 50, 1, 0, mSent);
        assertThat(mBorrower.onGrant(grant(50), SECOND / 2, mSent)).isTrue();
        assertThat(mBorrower.usable(Borrower.LOAN_VALIDITY_NANOS)).isEqualTo(50);
        assertThat(mBorrower.usable(Borrower.LOAN_VALIDITY_NANOS + 1)).isZero();
        assertThat(mBorrower.charge(1, 50, Borrower.LOAN_VALIDITY_NANOS + 1, mSent)).isZero();
        mBorrower.tick(Borrower.LOAN_VALIDITY_NANOS + 1, mSent);
        assertThat(mSent.last(LoanReturn.class)).isEqualTo(new LoanReturn("c", 7, 50, true));
    }

    @Test
    void aRepeatedGrantIsNeitherUsedNorReturnedAgain() {
        mBorrower.requestLoan(A.id(), 50, 1, 0, mSent);
        mBorrower.onGrant(grant(50), 1, mSent);
        assertThat(mBorrower.charge(1, 50, 2, mSent)).isEqualTo(50);
        assertThat(mBorrower.onGrant(grant(50), 3, mSent)).isFalse();
        assertThat(mBorrower.usable(4)).isZero();
        assertThat(mSent.all(LoanReturn.class)).allMatch(it -> it.returnedTotal() == 0);
    }

    @Test
    void unusedTokensOfARequestAreReturnedToTheLender() {
        mBorrower.requestLoan(A.id(), 50, 1, 0, mSent);
        mBorrower.onGrant(grant(50), 1, mSent);
        mBorrower.charge(1, 50, 2, mSent);
        mBorrower.settle(1, 30, 3, mSent);
        assertThat(mSent.last(LoanReturn.class)).isEqualTo(new LoanReturn("c", 7, 30, true));
    }

    private LoanGrant grant(long amount) {
        return new LoanGrant("c", 7, amount, 0, List.of());
    }

    private long lend(long amount) {
        return mLender.lend(A.id(), 1, 7, amount, 0);
    }
}
