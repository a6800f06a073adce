package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.B;
import static ebonygw.admission.ShareTesting.C;
import static ebonygw.admission.ShareTesting.SECOND;
import static ebonygw.admission.ShareTesting.TERMS;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.admission.ShareMessage.Adopt;
import ebonygw.admission.ShareMessage.Adopted;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.MemberState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The owner is A; a record of an earlier owner's epoch 4 lies in the key-value service. */
class ShardOwnerTest {
    private static final long START = 100 * SECOND;
    private static final long ENDS =
            Clocks.waitingOut(ShardLease.LEASE_NANOS + Clocks.waitingOut(Borrower.LOAN_NANOS));

    private final ShareTesting.Sent mSent = new ShareTesting.Sent();
    private ShardLease mLease;

    @Test
    void aSilentHoldersShareIsFreeOnlyAfterItsTimeAndARewrittenRecord() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(B, C));
        report(owner, A, 0);
        report(owner, B, 300_000);
        assertThat(free(owner, START)).startsWith("0/0/");

        stay(peers, owner, START, START + ENDS - 1);
        assertThat(mSent.mCalls).hasSize(2);
        stay(peers, owner, START + ENDS, START + ENDS + SECOND);
        assertThat(mSent.mCalls).hasSize(3);
        assertThat(free(owner, START + ENDS)).startsWith("0/0/");

        committed(owner, 11, START + ENDS + SECOND);
        owner.tick(false, START + ENDS + SECOND, mSent);
        assertThat(free(owner, START + ENDS + SECOND)).startsWith("699500/");
    }

    @Test
    void aLaterEpochKeepsASilentHoldersShareFromComingBack() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(B, C));
        report(owner, A, 0);
        report(owner, B, 300_000);
        long end = START + ENDS + SECOND;
        stay(peers, owner, START, end);
        owner.onReply(mSent.mLastCall, new KeyValueReply.Committed(12, false), end, mSent);
        stay(peers, owner, end, end + SECOND);
        assertThat(free(owner, end + SECOND)).startsWith("0/0/");
    }

    @Test
    void twoSilentHoldersThatMayRunKeepTheirShares() {
        Peers peers = ShareTesting.peers(A);
        ShardOwner owner = takeOver(peers, record(A, B, C));
        assertThat(owner.isOwner()).isFalse();

        peers.onMembers(List.of(ShareTesting.member(B, MemberState.GONE)));
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.GONE)));
        owner = takeOver(peers, record(A, B, C));
        report(owner, A, 0);
        peers.onMembers(List.of(ShareTesting.member(B, MemberState.LIVE)));
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.LIVE)));
        int calls = mSent.mCalls.size();
        stay(peers, owner, START, START + 10 * ENDS);
        assertThat(mSent.mCalls).hasSize(calls);
    }

    @Test
    void aHolderThatWasAloneKeepsItsShareUntilItIsProvenGone() {
        Peers peers = ShareTesting.peers(A);
        Claim before = record(C);
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.GONE)));
        ShardOwner owner = takeOver(peers, before);
        report(owner, A, 0);
        peers.onMembers(List.of(ShareTesting.member(C, MemberState.LIVE)));
        stay(peers, owner, START, START + 10 * ENDS);
        assertThat(mSent.mCalls).hasSize(2);

        peers.onUp(C.id(), 2, START + 10 * ENDS);
        stay(peers, owner, START + 10 * ENDS, START + 10 * ENDS + SECOND / 10);
        assertThat(free(owner, START + 10 * ENDS)).startsWith("0/0/");
    }

    @Test
    void nothingIsFreeBeforeEveryHolderOfTheEpochBeforeHasReported() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(A, B));
        report(owner, A, 100_000);
        owner.tick(false, START + SECOND, mSent);
        assertThat(free(owner, START + SECOND)).startsWith("0/0/");
        report(owner, B, 300_000);
        owner.tick(false, START + SECOND, mSent);
        assertThat(free(owner, START + SECOND)).startsWith("599500/");
    }

    @Test
    void aReportOfAnotherIncarnationOrEpochDoesNotCount() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = takeOver(peers, record(A, B));
        report(owner, A, 0);
        owner.onAdopted(new Holder(B.id(), 2, false), adopted(5, 0), START);
        owner.onAdopted(B, adopted(4, 0), START);
        owner.tick(false, START + 1, mSent);
        assertThat(free(owner, START + 1)).startsWith("0/0/");
    }

    @Test
    void aClaimWhoseAnswerWasLostIsReadBack() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = owner(peers);
        owner.tick(false, START, mSent);
        found(owner, record(A, B).toBytes(), START);
        KeyValueCall.Transaction claim = (KeyValueCall.Transaction) mSent.mCalls.get(1);
        owner.onReply(mSent.mLastCall, new KeyValueReply.Failed(true, "lost"), START, mSent);
        assertThat(owner.isOwner()).isFalse();
        owner.tick(false, START + SECOND, mSent);
        found(owner, claim.writes().get(0).value(), START + SECOND);
        assertThat(owner.isOwner()).isTrue();
    }

    @Test
    void anOwnerThatIsAliveIsLeftAlone() {
        Peers peers = ShareTesting.peers(A, B);
        ShardOwner owner = owner(peers);
        owner.tick(false, START, mSent);
        Claim record = record(A, B);
        record.mOwner = B;
        found(owner, record.toBytes(), START);
        assertThat(mSent.mCalls).hasSize(1);
    }

    private static Adopted adopted(long epoch, long rate) {
        return new Adopted(0, epoch, List.of(new Holding("c", rate, 2 * rate)));
    }

    private void committed(ShardOwner owner, long revision, long now) {
        owner.onReply(mSent.mLastCall, new KeyValueReply.Committed(revision, true), now, mSent);
    }

    private void found(ShardOwner owner, ByteString value, long now) {
        KeyValueReply.Entry entry = new KeyValueReply.Entry("shares/owner/0", value, 9, 0);
        owner.onReply(
                mSent.mLastCall, new KeyValueReply.Found(9, List.of(entry), false), now, mSent);
    }

    private static String free(ShardOwner owner, long now) {
        owner.ledger("c", now);
        return owner.free("c");
    }

    private ShardOwner owner(Peers peers) {
        mLease = new ShardLease(0, A);
        mLease.adopt(new Adopt(0, 3, A, List.of(A)), START);
        return new ShardOwner(0, peers, mLease, new CallIds(2), customer -> TERMS);
    }

    private static Claim record(Holder... holders) {
        Claim claim = new Claim();
        claim.mEpoch = 4;
        claim.mNonce = 44;
        claim.mOwner = new Holder(ShareTesting.holder("z").id(), 1, false);
        claim.mHolders.addAll(List.of(holders));
        return claim;
    }

    private void report(ShardOwner owner, Holder from, long rate) {
        owner.onAdopted(from, adopted(5, rate), START);
    }

    /** Ticks while the linked processes are heard of. */
    private void stay(Peers peers, ShardOwner owner, long from, long until) {
        mLease.adopt(new Adopt(0, 5, A, List.of(A)), START);
        for (long now = from; now <= until; now += SECOND / 10) {
            peers.onHeard(B.id(), 1, now);
            owner.tick(false, now, mSent);
        }
    }

    private ShardOwner takeOver(Peers peers, Claim before) {
        mSent.mCalls.clear();
        ShardOwner owner = owner(peers);
        peers.onHeard(B.id(), 1, START);
        owner.tick(false, START, mSent);
        found(owner, before.toBytes(), START);
        if (mSent.mCalls.size() == 2) {
            committed(owner, 10, START);
        }
        return owner;
    }
}
