package ebonygw.settings;

import static ebonygw.settings.SettingsFixtures.adapter;
import static ebonygw.settings.SettingsFixtures.base;
import static ebonygw.settings.SettingsFixtures.change;
import static ebonygw.settings.SettingsFixtures.customer;
import static ebonygw.settings.SettingsFixtures.with;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.request.AdapterVersion;
import ebonygw.settings.Edit.Assign;
import ebonygw.settings.Edit.Clear;
import ebonygw.settings.Edit.Create;
import ebonygw.settings.Edit.Move;
import ebonygw.settings.Edit.Remove;
import ebonygw.settings.FieldValue.Flag;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SettingsStateTest {
    private static final NodeKey ROUTE = NodeKey.parse("route/bookings");
    private final SettingsState mBase = with(SettingsState.EMPTY, "base", base());

    @Test
    void aNodeInheritsWhatItDoesNotOverride() {
        SettingsView view = mBase.view();

        assertThat(view.customer("c0")).contains(new CustomerSettings("c0", 1000, 5000, 1.0, 10));
        assertThat(view.customer("c1")).contains(new CustomerSettings("c1", 200, 5000, 1.0, 10));
    }

    @Test
    void aChangeOfANodeReachesDescendantsThatDoNotOverrideIt() {
        SettingsState next =
                with(
                        mBase,
                        "rate",
                        List.of(
                                new Assign(
                                        SettingsFixtures.ORGANISATION, Field.RATE, new Whole(77))));

        assertThat(next.view().customer("c0").orElseThrow().ratePerSecond()).isEqualTo(77);
        assertThat(next.view().customer("c1").orElseThrow().ratePerSecond()).isEqualTo(200);
        assertThat(mBase.view().customer("c0").orElseThrow().ratePerSecond()).isEqualTo(1000);
    }

    @Test
    void explainNamesTheNodeAndTheRevisionOfAValue() {
        SettingsState next =
                with(
                        mBase,
                        "burst",
                        List.of(new Assign(SettingsFixtures.REGION, Field.BURST, new Whole(900))));

        Explanation burst = next.tree().explain(customer(1), Field.BURST);
        Explanation weight = next.tree().explain(customer(1), Field.WEIGHT);

        assertThat(burst.origin()).contains(SettingsFixtures.REGION);
        assertThat(burst.revision()).isEqualTo(2);
        assertThat(burst.value()).isEqualTo(new Whole(900));
        assertThat(weight.origin()).isEmpty();
    }

    @Test
    void aRefusedChangeGetsAllReasonsAtOnce() {
        List<Reason> reasons =
                reasons(
                        mBase,
                        new Create(ROUTE, customer(0), Map.of(Field.CHARGE, new Whole(0))),
                        new Assign(ROUTE, Field.MODEL, new Text("")),
                        new Assign(customer(1), Field.RATE, new Whole(0)),
                        new Assign(customer(9), Field.RATE, new Whole(5)),
                        new Assign(customer(0), Field.WEIGHT, new Whole(5)),
                        new Create(
                                NodeKey.parse("adapter/a"),
                                customer(0),
                                Map.of(Field.VERSIONS, new Names(Set.of("1")))),
                        new Assign(customer(0), Field.SERVES, new Text("x")));

        assertThat(reasons)
                .extracting(Reason::toString)
                .anyMatch(r -> r.contains("route/bookings: has neither a model nor a service"))
                .anyMatch(
                        r ->
                                r.contains(
                                        "customer/c1: its rate must be at least 1 token per second:"
                                                + " 0"))
                .anyMatch(r -> r.contains("customer/c9: does not exist"))
                .anyMatch(
                        r ->
                                r.contains(
                                        "customer/c0: weight must be of the same type as its"
                                                + " default 1.0"))
                .anyMatch(
                        r -> r.contains("adapter/a: its default version is not among its versions"))
                .anyMatch(
                        r ->
                                r.contains(
                                        "customer/c0: serves cannot be set on a node of the kind"
                                                + " customer"));
    }

    @Test
    void aMoveBelowAnOwnDescendantIsRefusedAsACycle() {
        NodeKey inner = NodeKey.parse("region/kingston-a");
        SettingsState nested =
                with(
                        mBase,
                        "nested",
                        List.of(new Create(inner, SettingsFixtures.REGION, Map.of())));

        assertThat(reasons(nested, new Move(SettingsFixtures.REGION, inner)))
                .extracting(Reason::detail)
                .anyMatch(detail -> detail.contains("cycle"));
    }

    @Test
    void aVersionWithRunningRequestsCannotBeRemoved() {
        SettingsState state = with(mBase, "adapter", List.of(adapter("a1", customer(0))));
        SettingsChange removal =
                change(
                        "x",
                        -1,
                        List.of(
                                new Assign(
                                        NodeKey.parse("adapter/a1"),
                                        Field.VERSIONS,
                                        new Names(Set.of("2")))));

        assertThat(state.preview(removal, new AdapterVersion("a1", "1")::equals).getLeft())
                .extracting(Reason::detail)
                .containsExactly("version 1 runs requests and cannot be removed");
        assertThat(state.preview(removal, new AdapterVersion("a1", "2")::equals).isRight())
                .isTrue();
    }

    @Test
    void aRateBelowTheChargeOfOneRequestIsRefused() {
        List<Reason> reasons =
                reasons(
                        mBase,
                        new Create(
                                ROUTE,
                                customer(1),
                                Map.of(
                                        Field.SERVICE,
                                        new Text("booking"),
                                        Field.CHARGE,
                                        new Whole(201))));

        assertThat(reasons).hasSize(1);
        assertThat(reasons.get(0).detail()).contains("below the charge of a single request");
    }

    @Test
    void aRouteToAServiceWithoutTargetsIsRefusedOnceTargetsAreDefined() {
        SettingsState state =
                with(
                        mBase,
                        "target",
                        List.of(
                                new Create(
                                        NodeKey.parse("target/t1"),
                                        SettingsFixtures.REGION,
                                        Map.of(
                                                Field.SERVES,
                                                new Text("llama"),
                                                Field.CHECKS_FENCING,
                                                new Flag(true)))));

        assertThat(state.view().target("t1")).contains(new TargetSettings("t1", "llama", true));
        assertThat(
                        reasons(
                                state,
                                new Create(
                                        ROUTE,
                                        customer(0),
                                        Map.of(Field.SERVICE, new Text("booking")))))
                .extracting(Reason::detail)
                .containsExactly("no target serves booking");
    }

    @Test
    void theUndoStepsOfAChangeRestoreTheEffectiveSettings() {
        SettingsState state = with(mBase, "adapter", List.of(adapter("a1", customer(0))));
        List<Edit> edits = new ArrayList<>();
        edits.add(new Assign(customer(1), Field.BURST, new Whole(9)));
        edits.add(new Clear(customer(1), Field.RATE));
        edits.add(new Move(customer(1), SettingsFixtures.ORGANISATION));
        edits.add(new Remove(NodeKey.parse("adapter/a1")));
        SettingsState changed = with(state, "changed", edits);
        ChangeRecord record = changed.logged(changed.revision()).orElseThrow().record();

        SettingsState reverted = with(changed, "reverted", record.undo());

        assertThat(changed.view().adaptersOf("c0")).isEmpty();
        assertThat(reverted.view().adapter("a1")).isEqualTo(state.view().adapter("a1"));
        assertThat(reverted.view().customer("c1")).isEqualTo(state.view().customer("c1"));
        assertThat(reverted.view().adaptersOf("c0")).hasSize(1);
        assertThat(changed.treeAt(2).orElseThrow().node(customer(1)).orElseThrow().parent())
                .isEqualTo(SettingsFixtures.REGION);
    }

    @Test
    void aDamagedSnapshotIsRefused() {
        SettingsSnapshot snapshot = SettingsSnapshot.of(mBase);
        byte[] bytes = snapshot.bytes().toByteArray();
        bytes[bytes.length / 2] ^= 1;

        org.assertj.core.api.Assertions.assertThatThrownBy(
                        () ->
                                new SettingsSnapshot(
                                                1,
                                                snapshot.checksum(),
                                                com.google.protobuf.ByteString.copyFrom(bytes))
                                        .restore())
                .hasMessageContaining("checksum");
    }

    @Test
    void aChangeOutOfOrderDoesNotApply() {
        SettingsState other = with(SettingsState.EMPTY, "other", base());
        LoggedChange foreign =
                with(other, "next", List.of(adapter("a1", customer(0)))).logged(2).orElseThrow();

        assertThat(mBase.apply(foreign).isLeft()).isTrue();
        assertThat(SettingsState.EMPTY.apply(foreign).isLeft()).isTrue();
    }

    private static List<Reason> reasons(SettingsState state, Edit... edits) {
        return state.preview(change("x", -1, List.of(edits)), version -> false).getLeft();
    }
}
