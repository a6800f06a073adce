package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ProcessLeaseTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long T0 = 1_000 * SECOND;
    private static final long TIME_TO_LIVE = 10;
    private static final long SAFE_NANOS = TIME_TO_LIVE * SECOND * 999 / 1_000;

    private final RecordingOutbox mOut = new RecordingOutbox();
    private final Random mRandom = new Random(1);
    private final ProcessLease mLease =
            new ProcessLease(
                    new LeaseOptions(TIME_TO_LIVE, 1_000, 3 * SECOND),
                    new KeyValueRequestIds(3),
                    new KeyValueRateLimiter(10, 5, 2 * SECOND, mRandom),
                    mRandom);

    @Test
    void safeTimeCountsFromSendingTheRequestAndAllowsForClockDrift() {
        mLease.onTick(T0, mOut);
        mLease.onResponse(
                mOut.lastRequestId(), new KeyValueResponse.Lease(7, TIME_TO_LIVE), T0 + 2 * SECOND);
        assertThat(mLease.id()).isEqualTo(7);
        assertThat(mLease.safeUntilNanos()).isEqualTo(T0 + SAFE_NANOS);
    }

    @Test
    void responseAfterTheRequestTimeoutDoesNotExtendTheLease() {
        grant();
        long renewalNanos = T0 + 4 * SECOND;
        mLease.onTick(renewalNanos, mOut);
        long renewalId = mOut.lastRequestId();
        assertThat(mOut.lastRequest()).isEqualTo(new KeyValueRequest.LeaseKeepAlive(7));
        mLease.onTick(renewalNanos + 4 * SECOND, mOut);
        mLease.onResponse(
                renewalId, new KeyValueResponse.Lease(7, TIME_TO_LIVE), renewalNanos + SECOND);
        assertThat(mLease.safeUntilNanos()).isEqualTo(T0 + SAFE_NANOS);
    }

    @Test
    void expiredLeaseIsReplacedByANewOne() {
        grant();
        mLease.onTick(T0 + 4 * SECOND, mOut);
        mLease.onResponse(mOut.lastRequestId(), new KeyValueResponse.Lease(7, 0), T0 + 4 * SECOND);
        assertThat(mLease.id()).isZero();
        assertThat(mLease.safeUntilNanos()).isLessThan(T0);
        mLease.onTick(T0 + 5 * SECOND, mOut);
        assertThat(mOut.lastRequest()).isEqualTo(new KeyValueRequest.LeaseGrant(TIME_TO_LIVE));
    }

    @Test
    void renewalsOfTheWholeFleetStayWithinTheirRate() {
        int processes = 12_800;
        LeaseOptions options = LeaseOptions.forFleetOf(processes);
        double renewalsPerSecond = processes / (options.renewalNanos() / (double) SECOND);
        assertThat(renewalsPerSecond).isLessThanOrEqualTo(LeaseOptions.FLEET_RENEWALS_PER_SECOND);
    }

    private void grant() {
        mLease.onTick(T0, mOut);
        mLease.onResponse(mOut.lastRequestId(), new KeyValueResponse.Lease(7, TIME_TO_LIVE), T0);
    }
}
