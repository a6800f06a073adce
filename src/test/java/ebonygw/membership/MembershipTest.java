package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.MemberMessage.Hello;
import ebonygw.membership.MemberMessage.MemberUpdates;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long SECOND = 1_000_000_000L;
    private static final NodeId OTHER = new NodeId("other");

    private final RecordingOutbox mOut = new RecordingOutbox();
    private final Membership mMembership =
            new Membership(
                    MembershipOptions.of(member("self", 1, MemberState.LIVE)), new Random(1));
    private long mNow = 1_000 * SECOND;

    @Test
    void staleHostListNeverBringsBackALeavingProcess() {
        link(1);
        list(MemberState.LEAVING);
        assertThat(state()).isEqualTo(MemberState.LEAVING);
        list(MemberState.LIVE);
        assertThat(state()).isEqualTo(MemberState.LEAVING);
    }

    @Test
    void processRestartedOnALeavingHostIsLeavingUntilTheHostListClearsTheMark() {
        link(1);
        list(MemberState.LEAVING);
        link(2);
        assertThat(state()).isEqualTo(MemberState.LEAVING);
        list(MemberState.LIVE);
        assertThat(state()).isEqualTo(MemberState.LIVE);
    }

    @Test
    void oldIncarnationIsConfirmedGoneAndItsMessagesAreNotCurrent() {
        link(1);
        link(2);
        assertThat(mMembership.isConfirmedGone(OTHER, 1)).isTrue();
        assertThat(mMembership.isCurrent(OTHER, 1)).isFalse();
        mMembership.onPeerDown(OTHER, 1, mNow);
        assertThat(state()).isEqualTo(MemberState.LIVE);
    }

    @Test
    void expiredLeaseOfALinkedProcessChangesNothing() {
        link(1);
        Member other = member("other", 1, MemberState.LIVE);
        mMembership.onPresence(List.of(other), List.of(), true, mNow);
        mMembership.onPresence(List.of(), List.of(OTHER), true, mNow);
        assertThat(state()).isEqualTo(MemberState.LIVE);
        assertThat(mMembership.isConfirmedGone(OTHER, 1)).isFalse();
    }

    @Test
    void removedHostIsGoneOnlyWhenItsLinkIsDownAndItsLeaseExpired() {
        Member other = member("other", 1, MemberState.LIVE);
        mMembership.onPresence(List.of(other), List.of(), true, mNow);
        list(MemberState.LIVE);
        mMembership.onHostList(new HostList(List.of()), mNow);
        advance(60 * SECOND);
        assertThat(mMembership.isConfirmedGone(OTHER, 1)).isFalse();
        mMembership.onPresence(List.of(), List.of(OTHER), true, mNow);
        link(1);
        advance(60 * SECOND);
        assertThat(mMembership.isConfirmedGone(OTHER, 1)).isFalse();
        mMembership.onPeerDown(OTHER, 1, mNow);
        mMembership.onPresence(List.of(other), List.of(), true, mNow);
        mMembership.onPresence(List.of(), List.of(OTHER), true, mNow);
        advance(60 * SECOND);
        assertThat(mMembership.isConfirmedGone(OTHER, 1)).isTrue();
    }

    @Test
    void registrationsReadAtStartAreNotGossiped() {
        link(1);
        mMembership.onTick(mNow, mOut);
        mOut.mMessages.clear();
        Member third = member("third", 1, MemberState.LIVE);
        mMembership.onPresence(List.of(third), List.of(), false, mNow);
        advance(SECOND);
        assertThat(mOut.mMessages).noneMatch(message -> message instanceof MemberUpdates);
    }

    @Test
    void processThatOthersReportGoneIsSuperseded() {
        link(1);
        Member self = member("self", 1, MemberState.GONE);
        mMembership.onMessage(OTHER, 1, new MemberUpdates(List.of(self), true), mNow, mOut);
        assertThat(mMembership.isSuperseded()).isTrue();
    }

    private void advance(long nanos) {
        long end = mNow + nanos;
        while (mNow < end) {
            mNow += SECOND / 10;
            mMembership.onTick(mNow, mOut);
        }
    }

    private void link(long incarnation) {
        mMembership.onPeerUp(OTHER, incarnation, mNow, mOut);
        Hello hello = new Hello(member("other", incarnation, MemberState.LIVE), 0);
        mMembership.onMessage(OTHER, incarnation, hello, mNow, mOut);
    }

    private void list(MemberState state) {
        HostList.Host host = new HostList.Host(member("other", 0, state));
        mMembership.onHostList(new HostList(List.of(host)), mNow);
    }

    private static Member member(String name, long incarnation, MemberState state) {
        return new Member(
                new NodeId(name),
                incarnation,
                Role.TARGET,
                state,
                new Locality("fes", "a"),
                "10.0.0.1:7000",
                "model");
    }

    private MemberState state() {
        return mMembership.view().member(OTHER).orElseThrow().state();
    }
}
