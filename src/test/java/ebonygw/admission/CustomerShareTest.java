package ebonygw.admission;

import static ebonygw.admission.ShareTesting.LIMITS;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.admission.ShareMessage.Assign;
import ebonygw.admission.ShareMessage.Limits;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CustomerShareTest {
    private final ShareTesting.SentMessages mSent = new ShareTesting.SentMessages();
    private final List<AdmissionDecision> mDecisions = new ArrayList<>();
    private final CustomerShare mShare = new CustomerShare("c", 0, LIMITS, () -> 1);

    @Test
    void aRepeatedAssignAddsItsTokensOnce() {
        Assign assign = new Assign("c", 1, 1, 0, 1_000, 1_000, LIMITS);
        assertThat(mShare.assign(assign, 0)).isTrue();
        assertThat(mShare.admit(1, 1_000, SECOND, 0, true)).isEqualTo(Admission.ADMITTED);
        assertThat(mShare.assign(assign, 0)).isTrue();
        assertThat(mShare.bucket().level()).isZero();
    }

    @Test
    void anAssignThatSkipsAVersionIsNotApplied() {
        assertThat(mShare.assign(new Assign("c", 1, 2, 1, 1, 1, LIMITS), 0)).isFalse();
        assertThat(mShare.holdsShare()).isFalse();
    }

    @Test
    void lowerLimitsApplyToTheHeldShareAtOnce() {
        mShare.assign(new Assign("c", 1, 1, 400_000, 800_000, 800_000, LIMITS), 0);
        mShare.onLimits(new Limits(2, 250_000, 500_000), 0);
        assertThat(mShare.bucket().rate()).isEqualTo(100_000);
        assertThat(mShare.bucket().capacity()).isEqualTo(200_000);
        assertThat(mShare.bucket().level()).isEqualTo(200_000);
    }

    @Test
    void anAssignComputedFromOldSettingsIsLoweredOnReceipt() {
        mShare.onLimits(new Limits(2, 0, 0), 0);
        mShare.assign(new Assign("c", 1, 1, 400_000, 800_000, 800_000, LIMITS), 0);
        assertThat(mShare.holdsShare()).isFalse();
    }

    @Test
    void aRequestLargerThanTheBurstIsRefusedPermanently() {
        assertThat(mShare.admit(1, LIMITS.burst() + 1, SECOND, 0, true))
                .isEqualTo(Admission.EXCEEDS_BURST);
    }

    @Test
    void requestsWaitInOrderAndAreRefusedAfterTheMaxWait() {
        mShare.assign(new Assign("c", 1, 1, 1_000, 2_000, 0, LIMITS), 0);
        assertThat(mShare.admit(1, 1_000, 9 * SECOND, 0, true)).isEqualTo(Admission.WAITING);
        assertThat(mShare.admit(2, 2_000, 9 * SECOND, 0, true)).isEqualTo(Admission.WAITING);
        mShare.drain(SECOND, true, mDecisions, mSent);
        assertThat(mDecisions).containsExactly(new AdmissionDecision(1, Admission.ADMITTED));
        mShare.drain(2 * SECOND + 1, true, mDecisions, mSent);
        assertThat(mDecisions.get(1).admission().outcome()).isEqualTo(Admission.Outcome.OVER_RATE);
        assertThat(mDecisions.get(1).admission().retryAfterNanos()).isBetween(SECOND, 2 * SECOND);
    }

    @Test
    void withoutALeaseNothingIsCharged() {
        mShare.assign(new Assign("c", 1, 1, 0, 1_000, 1_000, LIMITS), 0);
        assertThat(mShare.admit(1, 1_000, SECOND, 0, false)).isEqualTo(Admission.WAITING);
        mShare.drain(0, false, mDecisions, mSent);
        assertThat(mDecisions).isEmpty();
    }
}
