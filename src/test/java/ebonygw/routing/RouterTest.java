package ebonygw.routing;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.WorkFixtures;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Work;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.RouteSettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static final int MAX_REMEMBERED = 8_192;
    private static final long SECOND = 1_000_000_000L;
    private static final Locality KINGSTON = new Locality("kingston", "a");
    private static final Locality MANDEVILLE = new Locality("mandeville", "a");
    private static final RouteSettings MODEL =
            new RouteSettings("r", "", false, "model", "", true, SECOND, 0, 0, Set.of());
    private static final RouteSettings SERVICE =
            new RouteSettings("s", "", false, "", "booking", false, SECOND, 0, 1, Set.of());
    private static final AdapterSettings ADAPTER =
            new AdapterSettings("a", "", "model", Set.of("1"), "1");
    private static final Work WORK = WorkFixtures.modelRequest(1, "customer", "a");

    private final Router mRouter = router("entry");
    private final List<Member> mMembers = new ArrayList<>();
    private long mNow = SECOND;

    @Test
    void anAdapterHeldOnlyByALeavingTargetIsHandedOverToALiveOne() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        target("t2", MemberState.JOINING, KINGSTON, "model");
        AdapterVersion only = new AdapterVersion("a", "1");
        AdapterVersion notRequested = new AdapterVersion("b", "1");
        report(new NodeId("t0"), 1, 0, List.of(only, notRequested));
        choose();
        choose();

        assertThat(mRouter.handoverTargets(new NodeId("t0"), 16, mNow))
                .containsExactly(Map.entry(only, new NodeId("t1")));
    }

    @Test
    void anAdapterAlsoHeldByAnotherTargetIsNotHandedOver() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        AdapterVersion shared = new AdapterVersion("a", "1");
        report(new NodeId("t0"), 1, 0, List.of(shared));
        report(new NodeId("t1"), 1, 0, List.of(shared));
        choose();
        choose();

        assertThat(mRouter.handoverTargets(new NodeId("t0"), 16, mNow)).isEmpty();
    }

    @Test
    void theNumberOfRememberedAdaptersIsBounded() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        for (int i = 0; i < 3 * MAX_REMEMBERED; i++) {
            Work work = WorkFixtures.modelRequest(i + 1, "customer", "adapter-" + i);
            choose(mRouter, work, MODEL, Set.of());
        }

        assertThat(mRouter.rememberedAdapters()).isLessThanOrEqualTo(MAX_REMEMBERED);
    }

    @Test
    void onlyLiveTargetsGetWorkUnlessOnlySuspectedOnesAreLeft() {
        target("leaving", MemberState.LEAVING, KINGSTON, "model");
        target("joining", MemberState.JOINING, KINGSTON, "model");
        assertThat(choose()).isEmpty();
        target("suspected", MemberState.SUSPECTED, KINGSTON, "model");
        assertThat(choose()).contains(new NodeId("suspected"));
        target("live", MemberState.LIVE, MANDEVILLE, "model");
        assertThat(choose()).contains(new NodeId("live"));
    }

    @Test
    void aTargetOfAnotherModelIsNeverChosen() {
        target("other", MemberState.LIVE, KINGSTON, "another");
        assertThat(choose()).isEmpty();
    }

    @Test
    void entriesAgreeOnThePreferredTargetOfAnAdapter() {
        for (int i = 0; i < 20; i++) {
            target("t" + i, MemberState.LIVE, KINGSTON, "model");
        }
        Router other = router("other");
        other.onMembers(mMembers, mNow);
        Set<NodeId> preferred = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            Work work = WorkFixtures.modelRequest(i, "customer", "adapter-" + i);
            Optional<NodeId> target = choose(mRouter, work, MODEL, Set.of());
            assertThat(choose(other, work, MODEL, Set.of())).isEqualTo(target);
            preferred.add(target.orElseThrow());
        }
        assertThat(preferred).hasSize(20);
    }

    @Test
    void aTargetThatHoldsTheExactVersionIsPreferred() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        NodeId preferred = choose().orElseThrow();
        NodeId other = new NodeId(preferred.name().equals("t0") ? "t1" : "t0");
        report(other, 1, 0, List.of(new AdapterVersion("a", "2")));
        assertThat(choose()).contains(preferred);
        report(other, 2, 0, List.of(new AdapterVersion("a", "1")));
        assertThat(choose()).contains(other);
    }

    @Test
    void excludedTargetsAreNotChosen() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        assertThat(choose(mRouter, WORK, MODEL, Set.of(new NodeId("t0")))).isEmpty();
    }

    @Test
    void anotherTargetIsChosenOnceWaitingAtTheHolderCostsMoreThanALoad() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        RouterOptions options = RouterOptions.defaults(new NodeId("entry"), KINGSTON);
        long loadCost = options.loadNanos() + options.loadPenaltyNanos();
        int concurrency = 8;
        int overload = (int) (concurrency * (2 + loadCost / options.serviceNanos()));
        report(new NodeId("t1"), 1, 0, List.of());
        report(new NodeId("t0"), 1, overload / 2, List.of(new AdapterVersion("a", "1")));
        assertThat(choose()).contains(new NodeId("t0"));
        report(new NodeId("t0"), 2, overload, List.of(new AdapterVersion("a", "1")));
        assertThat(choose()).contains(new NodeId("t1"));
    }

    @Test
    void reportedLoadIsCorrectedByAttemptsSentAndEndedSince() {
        NodeId id = new NodeId("t0");
        target("t0", MemberState.LIVE, KINGSTON, "model");
        report(id, 2, 3, List.of());
        mRouter.onSent(id, WORK, mNow);
        mRouter.onSent(id, WORK, mNow);
        assertThat(mRouter.load(id)).isEqualTo(5);
        mRouter.onOutcome(id, WORK, new Outcome.Completed(SECOND), mNow);
        assertThat(mRouter.load(id)).isEqualTo(4);
        report(id, 1, 9, List.of());
        assertThat(mRouter.load(id)).isEqualTo(4);
    }

    @Test
    void aFailingTargetIsEjectedAndLaterChosenAgain() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        NodeId preferred = choose().orElseThrow();
        for (int i = 0; i < 5; i++) {
            mRouter.onSent(preferred, WORK, mNow);
            mRouter.onOutcome(preferred, WORK, new Outcome.Failed(), mNow);
        }
        assertThat(choose()).isPresent().get().isNotEqualTo(preferred);
        mNow += 120 * SECOND;
        report(preferred, 1, 0, List.of(new AdapterVersion("a", "1")));
        assertThat(choose()).contains(preferred);
    }

    @Test
    void ejectedTargetsAreUsedIfNoOthersAreLeft() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        NodeId id = new NodeId("t0");
        for (int i = 0; i < 5; i++) {
            mRouter.onOutcome(id, WORK, new Outcome.Failed(), mNow);
        }
        assertThat(choose()).contains(id);
    }

    @Test
    void anOverloadedTargetIsAvoidedUntilItsBackoffEnds() {
        target("t0", MemberState.LIVE, KINGSTON, "booking");
        target("t1", MemberState.LIVE, MANDEVILLE, "booking");
        NodeId near = new NodeId("t0");
        assertThat(choose(mRouter, WorkFixtures.serviceRequest(1), SERVICE, Set.of()))
                .contains(near);
        Refusal full = Refusal.notRun(RefusalCode.OVERLOADED, "full");
        mRouter.onOutcome(near, WorkFixtures.serviceRequest(1), new Outcome.Refused(full), mNow);
        assertThat(choose(mRouter, WorkFixtures.serviceRequest(1), SERVICE, Set.of()))
                .contains(new NodeId("t1"));
        mNow += SECOND;
        assertThat(choose(mRouter, WorkFixtures.serviceRequest(1), SERVICE, Set.of()))
                .contains(near);
    }

    @Test
    void aServiceRequestStaysInItsRegionUntilWaitingThereCostsMore() {
        target("near", MemberState.LIVE, KINGSTON, "booking");
        target("far", MemberState.LIVE, MANDEVILLE, "booking");
        NodeId near = new NodeId("near");
        int sentNear = 0;
        while (choose(mRouter, WorkFixtures.serviceRequest(1), SERVICE, Set.of())
                .equals(Optional.of(near))) {
            mRouter.onSent(near, WorkFixtures.serviceRequest(1), mNow);
            sentNear++;
            assertThat(sentNear).isLessThan(100);
        }
        assertThat(sentNear).isPositive();
    }

    @Test
    void routesLimitedToRegionsUseNoOtherRegion() {
        target("t0", MemberState.LIVE, MANDEVILLE, "model");
        RouteSettings limited =
                new RouteSettings(
                        "r", "", false, "model", "", true, SECOND, 0, 0, Set.of("kingston"));
        assertThat(choose(mRouter, WORK, limited, Set.of())).isEmpty();
    }

    @Test
    void aLostConnectionClearsTheTargetsResidency() {
        target("t0", MemberState.LIVE, KINGSTON, "model");
        target("t1", MemberState.LIVE, KINGSTON, "model");
        NodeId preferred = choose().orElseThrow();
        NodeId other = new NodeId(preferred.name().equals("t0") ? "t1" : "t0");
        report(other, 1, 0, List.of(new AdapterVersion("a", "1")));
        mRouter.onPeerDown(other, mNow);
        assertThat(choose()).contains(preferred);
    }

    @Test
    void adaptersStayWhereTheyAreWhenAnotherTargetLeaves() {
        for (int i = 0; i < 10; i++) {
            target("t" + i, MemberState.LIVE, KINGSTON, "model");
        }
        List<Optional<NodeId>> before = preferredTargets();
        mMembers.remove(0);
        mRouter.onMembers(mMembers, mNow);
        List<Optional<NodeId>> after = preferredTargets();
        for (int i = 0; i < before.size(); i++) {
            if (!before.get(i).equals(Optional.of(new NodeId("t0")))) {
                assertThat(after.get(i)).isEqualTo(before.get(i));
            }
        }
    }

    private Optional<NodeId> choose() {
        return choose(mRouter, WORK, MODEL, Set.of());
    }

    private Optional<NodeId> choose(
            Router router, Work work, RouteSettings route, Set<NodeId> excluded) {
        AdapterSettings adapter = work.adapter().isPresent() ? ADAPTER : null;
        return router.choose(work, route, adapter, excluded, mNow + 30 * SECOND, mNow);
    }

    private List<Optional<NodeId>> preferredTargets() {
        List<Optional<NodeId>> targets = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            targets.add(
                    choose(mRouter, WorkFixtures.modelRequest(i, "c", "x" + i), MODEL, Set.of()));
        }
        return targets;
    }

    private void report(NodeId id, long sequence, int load, List<AdapterVersion> resident) {
        TargetReport report = new TargetReport(sequence, load, 0, 8, 0, resident, List.of());
        mRouter.onReport(id, 1, report, mNow);
    }

    private static Router router(String name) {
        return new Router(RouterOptions.defaults(new NodeId(name), KINGSTON));
    }

    private void target(String name, MemberState state, Locality locality, String serves) {
        mMembers.add(new Member(new NodeId(name), 1, Role.TARGET, state, locality, "", serves));
        mRouter.onMembers(mMembers, mNow);
    }
}
