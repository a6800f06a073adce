package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.routing.RouterOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetChooserTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final GatewayRequest ADAPTER_REQUEST =
            GatewayFixture.request("request-1", "/ask/1", GatewayFixture.KEY, "m0/a7");
    private static final GatewayRequest PLAIN_REQUEST =
            GatewayFixture.request("request-2", "/book/1", GatewayFixture.KEY, "");

    private static TargetChooser chooser(Locality locality) {
        return new TargetChooser(ChooserOptions.defaults(locality));
    }

    private static GatewayTarget target(TargetRecord record) {
        GatewayTarget target =
                new GatewayTarget(
                        record,
                        new IncarnationNotices().of(record.incarnation()),
                        RouterOptions.defaults(new NodeId("e"), GatewayFixture.KINGSTON));
        target.setLoader(GatewayFixture.loader(record.host()));
        target.onLoaderUp();
        return target;
    }

    private static List<GatewayTarget> replicas() {
        List<GatewayTarget> replicas = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            Locality where = i <= 3 ? GatewayFixture.KINGSTON : GatewayFixture.MONTEGO;
            replicas.add(target(GatewayFixture.replica("r" + i, "10.2.0." + i + ":80", where)));
        }
        return replicas;
    }

    private static void report(GatewayTarget target, long sequence, int running, String... held) {
        List<AdapterVersion> resident = new ArrayList<>();
        for (String adapter : held) {
            resident.add(new AdapterVersion(adapter, "1"));
        }
        target.onReport(new TargetReport(sequence, running, 0, 96, 0, resident, List.of()), NOW);
    }

    @Test
    void entriesOfARegionChooseTheSameTargetOfTheirRegionForAnAdapter() {
        List<GatewayTarget> replicas = replicas();

        GatewayTarget here =
                chooser(GatewayFixture.KINGSTON)
                        .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW)
                        .target();
        List<GatewayTarget> reordered = new ArrayList<>(replicas);
        Collections.reverse(reordered);
        GatewayTarget again =
                chooser(GatewayFixture.KINGSTON)
                        .choose(ADAPTER_REQUEST, 0, reordered, Set.of(), "", 0, NOW)
                        .target();

        assertThat(again).isSameAs(here);
        assertThat(here.record().locality()).isEqualTo(GatewayFixture.KINGSTON);
    }

    @Test
    void aTargetOfAnotherRegionThatIsLoadingTheAdapterIsPreferred() {
        List<GatewayTarget> replicas = replicas();
        GatewayTarget far =
                chooser(GatewayFixture.MONTEGO)
                        .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW)
                        .target();
        List<AdapterVersion> loading = List.of(new AdapterVersion(ADAPTER_REQUEST.adapter(), ""));
        far.onReport(new TargetReport(1, 0, 0, 96, 0, List.of(), loading), NOW);

        GatewayTarget chosen =
                chooser(GatewayFixture.KINGSTON)
                        .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW)
                        .target();

        assertThat(chosen).isSameAs(far);
    }

    @Test
    void aWaitingRequestMovesOnlyIfTheSavingExceedsTheThreshold() {
        List<GatewayTarget> replicas = replicas();
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);
        GatewayTarget preferred =
                chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target();
        GatewayTarget next =
                chooser.choose(
                                ADAPTER_REQUEST,
                                0,
                                replicas,
                                Set.of(preferred.record().id()),
                                "",
                                0,
                                NOW)
                        .target();

        assertThat(
                        chooser.choose(
                                        ADAPTER_REQUEST,
                                        0,
                                        replicas,
                                        Set.of(),
                                        next.record().id(),
                                        0,
                                        NOW)
                                .target())
                .isSameAs(next);
        report(preferred, 1, 0, "m0/a7");
        assertThat(
                        chooser.choose(
                                        ADAPTER_REQUEST,
                                        0,
                                        replicas,
                                        Set.of(),
                                        next.record().id(),
                                        0,
                                        NOW)
                                .target())
                .isSameAs(preferred);
    }

    @Test
    void aWaitingRequestMovesOnlyToATargetWithAnOpenAdapterSlot() {
        List<GatewayTarget> replicas = replicas();
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);
        replicas.forEach(target -> target.onOpenAdapterSlots(-1));
        GatewayTarget preferred =
                chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target();
        String awaited = preferred.record().id();
        GatewayTarget other = replicas.get(0) == preferred ? replicas.get(1) : replicas.get(0);

        preferred.onOpenAdapterSlots(-9);
        assertThat(chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), awaited, 0, NOW).target())
                .isSameAs(preferred);
        other.onOpenAdapterSlots(1);
        assertThat(chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), awaited, 0, NOW).target())
                .isSameAs(other);
    }

    @Test
    void aRequestMovesIfTheConnectionToTheLoaderOfItsTargetIsLost() {
        List<GatewayTarget> replicas = replicas();
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);
        replicas.forEach(target -> target.onOpenAdapterSlots(-1));
        GatewayTarget preferred =
                chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target();

        preferred.onLoaderDown();

        TargetChooser.Choice choice =
                chooser.choose(
                        ADAPTER_REQUEST, 0, replicas, Set.of(), preferred.record().id(), 0, NOW);
        assertThat(choice).isNotNull();
        assertThat(choice.target()).isNotSameAs(preferred);
    }

    @Test
    void anAdapterIsLoadedElsewhereIfAdaptersWaitForSlotsAtItsPreferredTarget() {
        List<GatewayTarget> replicas = replicas();
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);
        GatewayTarget preferred =
                chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target();

        preferred.onOpenAdapterSlots(-4);

        assertThat(chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target())
                .isNotSameAs(preferred);
    }

    @Test
    void aReplicaThatHoldsTheAdapterIsPreferredEvenInAnotherRegion() {
        List<GatewayTarget> replicas = replicas();
        report(replicas.get(5), 1, 0, "m0/a7");

        TargetChooser.Choice choice =
                chooser(GatewayFixture.KINGSTON)
                        .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW);

        assertThat(choice.resident()).isTrue();
        assertThat(choice.target()).isSameAs(replicas.get(5));
    }

    @Test
    void anAdapterOfAnOlderVersionThanWantedIsNotResident() {
        List<GatewayTarget> replicas = replicas();
        report(replicas.get(0), 1, 0, "m0/a7");

        assertThat(
                        chooser(GatewayFixture.KINGSTON)
                                .choose(ADAPTER_REQUEST, 2, replicas, Set.of(), "", 0, NOW)
                                .resident())
                .isFalse();
    }

    @Test
    void aReplicaThatHeldTheAdapterRecentlyIsPreferred() {
        List<GatewayTarget> replicas = replicas();
        report(replicas.get(4), 1, 0, "m0/a7");
        report(replicas.get(4), 2, 0);

        assertThat(
                        chooser(GatewayFixture.KINGSTON)
                                .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW)
                                .target())
                .isSameAs(replicas.get(4));
    }

    @Test
    void anOverloadedReplicaIsAvoidedAlthoughItHoldsTheAdapter() {
        List<GatewayTarget> replicas = replicas();
        report(replicas.get(5), 1, 110, "m0/a7");

        assertThat(
                        chooser(GatewayFixture.KINGSTON)
                                .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW)
                                .target())
                .isNotSameAs(replicas.get(5));
    }

    @Test
    void aFullPlainTargetIsAvoidedInFavourOfOneOfAnotherRegion() {
        GatewayTarget near =
                target(GatewayFixture.plain("n", "10.1.0.1:80", GatewayFixture.KINGSTON));
        GatewayTarget far =
                target(GatewayFixture.plain("f", "10.1.0.2:80", GatewayFixture.MONTEGO));
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);

        assertThat(
                        chooser.choose(PLAIN_REQUEST, 0, List.of(near, far), Set.of(), "", 0, NOW)
                                .target())
                .isSameAs(near);
        near.onLoad(new TargetLoad(6, 24, 6), NOW);
        assertThat(
                        chooser.choose(PLAIN_REQUEST, 0, List.of(near, far), Set.of(), "", 0, NOW)
                                .target())
                .isSameAs(far);
    }

    @Test
    void withoutALoaderAnAdapterCannotBeLoaded() {
        List<GatewayTarget> replicas = replicas();
        replicas.forEach(GatewayTarget::onLoaderDown);

        assertThat(
                        chooser(GatewayFixture.KINGSTON)
                                .choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW))
                .isNull();
    }

    @Test
    void queuedPromptsOfOtherEntriesAddToTheExpectedStart() {
        GatewayTarget near =
                target(GatewayFixture.replica("n", "10.2.0.1:80", GatewayFixture.KINGSTON));
        GatewayTarget far =
                target(GatewayFixture.replica("f", "10.2.0.2:80", GatewayFixture.MONTEGO));
        report(near, 1, 0, "m0/a7");
        report(far, 1, 0, "m0/a7");
        near.onLoad(new TargetLoad(0, 3, 96), 2, NOW);

        TargetChooser.Choice choice =
                chooser(GatewayFixture.KINGSTON)
                        .choose(ADAPTER_REQUEST, 0, List.of(near, far), Set.of(), "", 9_000, NOW);

        assertThat(choice.target()).isSameAs(far);
    }

    /**
     * Guards against long prompts of many entries that meet at one target: each entry sees only its
     * own, and all choose the nearest target while another one is idle.
     */
    @Test
    void aTargetWithAPrefillBacklogOfOtherEntriesIsAvoided() {
        List<GatewayTarget> replicas = replicas().subList(0, 2);
        replicas.forEach(it -> report(it, 1, 1, "m0/a7"));
        TargetChooser chooser = chooser(GatewayFixture.KINGSTON);
        GatewayTarget first =
                chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target();

        first.backlog().onReport(30_000);

        assertThat(chooser.choose(ADAPTER_REQUEST, 0, replicas, Set.of(), "", 0, NOW).target())
                .isNotSameAs(first);
    }
}
