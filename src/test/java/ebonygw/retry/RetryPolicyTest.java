package ebonygw.retry;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.WorkFixtures;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Work;
import ebonygw.settings.CustomerSettings;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final NodeId TARGET = new NodeId("target");
    private static final CustomerSettings CUSTOMER =
            new CustomerSettings("customer", 100, 100, 1, 10);
    private static final Refusal LOST = Refusal.mayHaveRun(RefusalCode.LOST, "lost");
    private static final Refusal NOT_RUN = Refusal.notRun(RefusalCode.OVERLOADED, "full");

    private final RetryPolicy mPolicy = new RetryPolicy(RetryOptions.defaults());

    @Test
    void idempotentWorkIsRetriedOnAnotherTargetAfterALostConnection() {
        assertThat(retries(WorkFixtures.modelRequest(1, "customer", "a"), LOST, false)).isTrue();
    }

    @Test
    void nonIdempotentWorkIsRetriedOnlyIfItDidNotRun() {
        assertThat(retries(WorkFixtures.serviceRequest(1), LOST, false)).isFalse();
        assertThat(retries(WorkFixtures.serviceRequest(1), NOT_RUN, false)).isTrue();
    }

    @Test
    void noRetryOnceTheResponseHasStarted() {
        assertThat(retries(WorkFixtures.modelRequest(1, "customer", "a"), LOST, true)).isFalse();
        assertThat(retries(WorkFixtures.serviceRequest(1), NOT_RUN, true)).isFalse();
    }

    @Test
    void noRetryBeyondMaxAttemptsOrWithTooLittleTimeLeft() {
        Work last = WorkFixtures.modelRequest(1, "customer", "a").withAttempt(4);
        assertThat(retries(last, NOT_RUN, false)).isFalse();
        Work work = WorkFixtures.modelRequest(2, "customer", "a");
        assertThat(mPolicy.decide(work, NOT_RUN, false, CUSTOMER, TARGET, 1, SECOND))
                .isEqualTo(new RetryDecision.GiveUp(NOT_RUN));
    }

    @Test
    void refusalsThatDoNotDependOnTheTargetAreNotRetried() {
        Refusal forbidden = Refusal.notRun(RefusalCode.FORBIDDEN, "no");
        assertThat(retries(WorkFixtures.modelRequest(1, "customer", "a"), forbidden, false))
                .isFalse();
    }

    @Test
    void retriesDuringAnOutageStayWithinTheBudget() {
        int retried = 0;
        int requests = 10_000;
        for (int i = 0; i < requests; i++) {
            mPolicy.onFirstAttempt(CUSTOMER, TARGET, SECOND);
            retried += retries(WorkFixtures.modelRequest(i, "customer", "a"), LOST, false) ? 1 : 0;
        }
        assertThat(retried).isBetween(requests / 10 - 10, requests / 10 + 10);
    }

    @Test
    void retriesAfterAStoppingRefusalCostNoBudget() {
        Refusal stopping = Refusal.notRun(RefusalCode.STOPPING, "stopping");
        for (int i = 0; i < 1000; i++) {
            assertThat(retries(WorkFixtures.serviceRequest(i), stopping, false)).isTrue();
        }
    }

    @Test
    void onlyIdempotentPlainServiceRequestsAreHedgedWithinTheBudget() {
        Work idempotent =
                WorkFixtures.work(1, "customer", java.util.Optional.empty(), true, 0, 0, 1);
        for (int i = 0; i < 200; i++) {
            mPolicy.onCompleted(idempotent, SECOND / 100);
        }
        assertThat(mPolicy.hedgeAfter(idempotent, CUSTOMER, SECOND, SECOND)).isPresent();
        assertThat(mPolicy.hedgeAfter(WorkFixtures.serviceRequest(2), CUSTOMER, SECOND, SECOND))
                .isEmpty();
        Work model = WorkFixtures.modelRequest(3, "customer", "a");
        assertThat(mPolicy.hedgeAfter(model, CUSTOMER, SECOND, SECOND)).isEmpty();
        int hedges = 0;
        while (mPolicy.withdrawForHedge(CUSTOMER, SECOND)) {
            hedges++;
        }
        assertThat(hedges).isEqualTo((int) RetryOptions.defaults().maxBalance());
        assertThat(mPolicy.hedgeAfter(idempotent, CUSTOMER, SECOND, SECOND)).isEmpty();
    }

    private boolean retries(Work work, Refusal refusal, boolean responseStarted) {
        RetryDecision decision =
                mPolicy.decide(
                        work, refusal, responseStarted, CUSTOMER, TARGET, 10 * SECOND, SECOND);
        return decision instanceof RetryDecision.RetryOnOtherTarget;
    }
}
