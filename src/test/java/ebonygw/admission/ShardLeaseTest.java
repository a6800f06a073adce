package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.B;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.admission.ShareMessage.Adopt;
import ebonygw.admission.ShareMessage.HeartbeatAck;
import ebonygw.admission.ShareMessage.Holder;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShardLeaseTest {
    private final ShareTesting.SentMessages mSent = new ShareTesting.SentMessages();
    private final ShardLease mLease = new ShardLease(0, A);

    @Test
    void theLeaseEndsAFixedTimeAfterTheConfirmedHeartbeatWasSent() {
        adopt(1, 0, A, B);
        assertThat(mLease.isValid(1)).isFalse();
        mLease.onAck(new HeartbeatAck(0, 1, SECOND));
        assertThat(mLease.isValid(SECOND + ShardLease.LEASE_NANOS - 1)).isTrue();
        assertThat(mLease.isValid(SECOND + ShardLease.LEASE_NANOS)).isFalse();
    }

    @Test
    void aConfirmationOfAnOlderHeartbeatDoesNotChangeTheLease() {
        adopt(1, 0, A, B);
        mLease.onAck(new HeartbeatAck(0, 1, 2 * SECOND));
        mLease.onAck(new HeartbeatAck(0, 1, SECOND));
        assertThat(mLease.isValid(2 * SECOND + ShardLease.LEASE_NANOS)).isFalse();
    }

    @Test
    void anExpiredEpochIsNeverFollowedAgain() {
        adopt(1, 0, A, B);
        assertThat(mLease.tick(ShardLease.LEASE_NANOS, mSent)).isTrue();
        mLease.onAck(new HeartbeatAck(0, 1, ShardLease.LEASE_NANOS));
        assertThat(mLease.isValid(ShardLease.LEASE_NANOS + 1)).isFalse();
        assertThat(mLease.follows(1)).isFalse();
        assertThat(mLease.canConfirm(B, 1)).isFalse();
        assertThat(adopt(1, ShardLease.LEASE_NANOS, A, B)).isFalse();
    }

    @Test
    void onlyHoldersOfTheSameEpochAreConfirmed() {
        adopt(2, 0, A, B);
        assertThat(mLease.canConfirm(B, 2)).isTrue();
        assertThat(mLease.canConfirm(B, 1)).isFalse();
        assertThat(mLease.canConfirm(ShareTesting.C, 2)).isFalse();
        assertThat(mLease.canConfirm(new Holder(B.id(), 2, false), 2)).isFalse();
    }

    @Test
    void anOlderEpochIsNotFollowed() {
        adopt(2, 0, A, B);
        assertThat(adopt(1, 0, A, B)).isFalse();
        assertThat(mLease.follows(1)).isFalse();
    }

    @Test
    void theOnlyHolderLosesItsLeaseIfItPausesForTheLeaseTime() {
        adopt(1, 0, A);
        mLease.tick(SECOND, mSent);
        assertThat(mLease.isValid(2 * SECOND)).isTrue();
        assertThat(mLease.tick(SECOND + ShardLease.LEASE_NANOS, mSent)).isTrue();
    }

    private boolean adopt(long epoch, long now, Holder... holders) {
        return mLease.adopt(new Adopt(0, epoch, B, List.of(holders)), now);
    }
}
