package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A process with exclusive access to its target from its host, in outages, pauses and restarts. */
class TargetAuthorityTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long ORDER = 5 * SECOND;
    private static final long TIME_TO_LIVE = 15;

    private final Random mRandom = new Random(1);
    private final FaultInjectingKeyValueStore mService =
            new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), mRandom);
    private long mNow = 1_000 * SECOND;
    private ProcessLease mLease;
    private TargetAuthority mAuthority;

    @BeforeEach
    void startHolder() {
        start(1, "10.0.0.1:7000", false);
        advance(10 * SECOND);
    }

    @Test
    void holderMaySendRequestsAndOrders() {
        assertThat(mAuthority.mayRun(ORDER, mNow)).isTrue();
        assertThat(mAuthority.tokenForOrder(ORDER, mNow)).hasValue(mAuthority.token());
    }

    @Test
    void longOutageStopsOrdersToATargetThatIgnoresTokensButNotItsRequests() {
        mService.setFaults(KeyValueFaults.DOWN);
        advance(3_600 * SECOND);
        assertThat(mAuthority.tokenForOrder(ORDER, mNow)).isEmpty();
        assertThat(mAuthority.mayRun(ORDER, mNow)).isTrue();
        mService.setFaults(KeyValueFaults.NONE);
        advance(60 * SECOND);
        assertThat(mAuthority.tokenForOrder(ORDER, mNow)).isPresent();
    }

    @Test
    void longOutageStopsNeitherOrdersNorRequestsOfATargetThatChecksTokens() {
        start(2, "10.0.0.1:7000", true);
        advance(10 * SECOND);
        mService.setFaults(KeyValueFaults.DOWN);
        advance(3_600 * SECOND);
        assertThat(mAuthority.tokenForOrder(ORDER, mNow)).isPresent();
        assertThat(mAuthority.mayRun(ORDER, mNow)).isTrue();
    }

    @Test
    void holderPausedPastItsLeaseSendsNothingUntilTheServiceResponds() {
        mService.setFaults(KeyValueFaults.DOWN);
        mNow += 60 * SECOND;
        assertThat(mAuthority.tokenForOrder(ORDER, mNow)).isEmpty();
        assertThat(mAuthority.mayRun(ORDER, mNow)).isFalse();
        advance(60 * SECOND);
        assertThat(mAuthority.mayRun(ORDER, mNow)).isFalse();
        mService.setFaults(KeyValueFaults.NONE);
        advance(60 * SECOND);
        assertThat(mAuthority.mayRun(ORDER, mNow)).isTrue();
    }

    @Test
    void restartOnTheSameHostTakesOverBeforeLeaseExpiryButWaitsForTheLastOrder() {
        long previous = mAuthority.token();
        start(2, "10.0.0.1:7001", false);
        advance(SECOND);
        assertThat(mAuthority.token()).isGreaterThan(previous);
        assertThat(mAuthority.mayRun(0, mNow)).isFalse();
        assertThat(mAuthority.tokenForOrder(0, mNow)).isEmpty();
        advance(ORDER);
        assertThat(mAuthority.mayRun(0, mNow)).isTrue();
    }

    @Test
    void claimantOnAnotherHostWaitsForLeaseExpiry() {
        start(2, "10.0.0.2:7000", false);
        advance(5 * SECOND);
        assertThat(mAuthority.token()).isZero();
        advance(40 * SECOND);
        assertThat(mAuthority.mayRun(0, mNow)).isTrue();
    }

    @Test
    void releaseLetsAnotherHostTakeOverAtOnce() {
        mLease.release(mNow, outbox());
        assertThat(mAuthority.tokenForOrder(0, mNow)).isEmpty();
        start(2, "10.0.0.2:7000", false);
        advance(5 * SECOND + ORDER);
        assertThat(mAuthority.mayRun(0, mNow)).isTrue();
    }

    private void advance(long nanos) {
        long end = mNow + nanos;
        while (mNow < end) {
            mNow += 100 * MILLI;
            mService.advance(mNow);
            mLease.onTick(mNow, outbox());
            mAuthority.onTick(mNow, outbox());
        }
    }

    private Outbox outbox() {
        ProcessLease lease = mLease;
        TargetAuthority authority = mAuthority;
        return new Outbox() {
            @Override
            public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                mService.submit(
                        "c" + lease.hashCode(),
                        requestId,
                        request,
                        mNow,
                        response -> {
                            if (!lease.onResponse(requestId, response, mNow)) {
                                authority.onResponse(requestId, response, mNow);
                            }
                        });
            }

            @Override
            public void send(NodeId to, Message message) {
                throw new IllegalStateException("an authority must not send messages");
            }
        };
    }

    private void start(long incarnation, String address, boolean checksTokens) {
        KeyValueRateLimiter rateLimiter = new KeyValueRateLimiter(20, 5, 5 * SECOND, mRandom);
        mLease =
                new ProcessLease(
                        new LeaseOptions(TIME_TO_LIVE, 1_000, SECOND),
                        new KeyValueRequestIds(3),
                        rateLimiter,
                        mRandom);
        Member self =
                new Member(
                        new NodeId("t" + incarnation),
                        incarnation,
                        Role.TARGET,
                        MemberState.LIVE,
                        new Locality("fes", "a"),
                        address,
                        "model");
        mAuthority =
                new TargetAuthority(
                        new AuthorityOptions("engine", self, checksTokens, true, ORDER),
                        mLease,
                        new KeyValueRequestIds(4),
                        rateLimiter,
                        mRandom);
    }
}
