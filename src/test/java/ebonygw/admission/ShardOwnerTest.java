package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.B;
import static ebonygw.admission.ShareTesting.C;
import static ebonygw.admission.ShareTesting.LIMITS;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.admission.ShareMessage.Adopt;
import ebonygw.admission.ShareMessage.Adopted;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.MemberState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Process A takes over a shard whose record in the key-value service is of another's epoch 4. */
class ShardOwnerTest {
    private static final long START = 100 * SECOND;
    private static final long EXPIRY_NANOS =
            ClockDrift.withMargin(
                    ShardLease.LEASE_NANOS + ClockDrift.withMargin(Borrower.LOAN_VALIDITY_NANOS));

    private final ShareTesting.SentMessages mSent = new ShareTesting.SentMessages();
    private ShardLease mLease;

    @Test
    void anUnresponsiveHoldersShareIsFreedOnlyAfterItsExpiryAndARecordWrite() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(B, C));
        report(owner, A, 0);
        report(owner, B, 300_000);
        assertThat(describeFree(owner, START)).startsWith("0/0/");

        tickUntil(peers, owner, START, START + EXPIRY_NANOS - 1);
        assertThat(mSent.mKeyValueRequests).hasSize(2);
        tickUntil(peers, owner, START + EXPIRY_NANOS, START + EXPIRY_NANOS + SECOND);
        assertThat(mSent.mKeyValueRequests).hasSize(3);
        assertThat(describeFree(owner, START + EXPIRY_NANOS)).startsWith("0/0/");

        committed(owner, 11, START + EXPIRY_NANOS + SECOND);
        owner.tick(false, START + EXPIRY_NANOS + SECOND, mSent);
        assertThat(describeFree(owner, START + EXPIRY_NANOS + SECOND)).startsWith("699500/");
    }

    @Test
    void anUnresponsiveHoldersShareIsNotFreedIfTheRecordWriteConflicts() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(B, C));
        report(owner, A, 0);
        report(owner, B, 300_000);
        long end = START + EXPIRY_NANOS + SECOND;
        tickUntil(peers, owner, START, end);
        owner.onResponse(
                mSent.mLastRequestId,
                new KeyValueResponse.TransactionResult(12, false),
                end,
                mSent);
        tickUntil(peers, owner, end, end + SECOND);
        assertThat(describeFree(owner, end + SECOND)).startsWith("0/0/");
    }

    @Test
    void twoUnresponsiveHoldersThatMayRunKeepTheirShares() {
        Peers peers = ShareTesting.peers(A);
        ShardOwner owner = takeOver(peers, record(A, B, C));
        assertThat(owner.isOwner()).isFalse();

        peers.onMembers(List.of(ShareTesting.member(B, MemberState.GONE)));
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.GONE)));
        owner = takeOver(peers, record(A, B, C));
        report(owner, A, 0);
        peers.onMembers(List.of(ShareTesting.member(B, MemberState.LIVE)));
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.LIVE)));
        int requestCount = mSent.mKeyValueRequests.size();
        tickUntil(peers, owner, START, START + 10 * EXPIRY_NANOS);
        assertThat(mSent.mKeyValueRequests).hasSize(requestCount);
    }

    @Test
    void aFormerOnlyHolderKeepsItsShareUntilItIsKnownStopped() {
        Peers peers = ShareTesting.peers(A);
        OwnerRecord previous = record(C);
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.GONE)));
        ShardOwner owner = takeOver(peers, previous);
        report(owner, A, 0);
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.LIVE)));
        tickUntil(peers, owner, START, START + 10 * EXPIRY_NANOS);
        assertThat(mSent.mKeyValueRequests).hasSize(2);

        peers.onUp(C.id(), 2, START + 10 * EXPIRY_NANOS);
        tickUntil(peers, owner, START + 10 * EXPIRY_NANOS, START + 10 * EXPIRY_NANOS + SECOND / 10);
        assertThat(describeFree(owner, START + 10 * EXPIRY_NANOS)).startsWith("0/0/");
    }

    @Test
    void nothingIsFreeBeforeEveryHolderOfThePreviousEpochHasReported() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(A, B));
        report(owner, A, 100_000);
        owner.tick(false, START + SECOND, mSent);
        assertThat(describeFree(owner, START + SECOND)).startsWith("0/0/");
        report(owner, B, 300_000);
        owner.tick(false, START + SECOND, mSent);
        assertThat(describeFree(owner, START + SECOND)).startsWith("599500/");
    }

    @Test
    void aReportOfAnotherIncarnationOrEpochDoesNotCount() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(A, B));
        report(owner, A, 0);
        owner.onAdopted(new Holder(B.id(), 2, false), adopted(5, 0), START);
        owner.onAdopted(B, adopted(4, 0), START);
        owner.tick(false, START + 1, mSent);
        assertThat(describeFree(owner, START + 1)).startsWith("0/0/");
    }

    @Test
    void aRecordWhoseWriteResponseWasLostIsReadBack() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = owner(peers);
        owner.tick(false, START, mSent);
        found(owner, record(A, B).toBytes(), START);
        KeyValueRequest.Transaction write =
                (KeyValueRequest.Transaction) mSent.mKeyValueRequests.get(1);
        owner.onResponse(
                mSent.mLastRequestId, new KeyValueResponse.Failed(true, "lost"), START, mSent);
        assertThat(owner.isOwner()).isFalse();
        owner.tick(false, START + SECOND, mSent);
        found(owner, write.writes().get(0).value(), START + SECOND);
        assertThat(owner.isOwner()).isTrue();
    }

    @Test
    void aLiveOwnerIsNotReplaced() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = owner(peers);
        owner.tick(false, START, mSent);
        OwnerRecord record = record(A, B);
        record.mOwner = B;
        found(owner, record.toBytes(), START);
        assertThat(mSent.mKeyValueRequests).hasSize(1);
    }

    private static Adopted adopted(long epoch, long rate) {
        return new Adopted(0, epoch, List.of(new Holding("c", rate, 2 * rate)));
    }

    private void committed(ShardOwner owner, long revision, long now) {
        owner.onResponse(
                mSent.mLastRequestId,
                new KeyValueResponse.TransactionResult(revision, true),
                now,
                mSent);
    }

    private static String describeFree(ShardOwner owner, long now) {
        owner.ledger("c", now);
        return owner.describeFree("c");
    }

    private void found(ShardOwner owner, ByteString value, long now) {
        KeyValueResponse.Entry entry = new KeyValueResponse.Entry("shares/owner/0", value, 9, 0);
        owner.onResponse(
                mSent.mLastRequestId,
                new KeyValueResponse.RangeResult(9, List.of(entry), false),
                now,
                mSent);
    }

    private ShardOwner owner(Peers peers) {
        mLease = new ShardLease(0, A);
        mLease.adopt(new Adopt(0, 3, A, List.of(A)), START);
        return new ShardOwner(0, peers, mLease, new KeyValueRequestIds(2), customer -> LIMITS);
    }

    private static OwnerRecord record(Holder... holders) {
        OwnerRecord record = new OwnerRecord();
        record.mEpoch = 4;
        record.mNonce = 44;
        record.mOwner = new Holder(ShareTesting.holder("z").id(), 1, false);
        record.mHolders.addAll(List.of(holders));
        return record;
    }

    private void report(ShardOwner owner, Holder from, long rate) {
        owner.onAdopted(from, adopted(5, rate), START);
    }

    private ShardOwner takeOver(Peers peers, OwnerRecord previous) {
        mSent.mKeyValueRequests.clear();
        ShardOwner owner = owner(peers);
        peers.onReceived(B.id(), 1, START);
        owner.tick(false, START, mSent);
        found(owner, previous.toBytes(), START);
        if (mSent.mKeyValueRequests.size() == 2) {
            committed(owner, 10, START);
        }
        return owner;
    }

    /** Ticks the owner while messages of B keep arriving. */
    private void tickUntil(Peers peers, ShardOwner owner, long from, long until) {
        mLease.adopt(new Adopt(0, 5, A, List.of(A)), START);
        for (long now = from; now <= until; now += SECOND / 10) {
            peers.onReceived(B.id(), 1, now);
            owner.tick(false, now, mSent);
        }
    }
}
