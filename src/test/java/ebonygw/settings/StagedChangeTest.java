package ebonygw.settings;

import static ebonygw.settings.SettingsFixtures.adapter;
import static ebonygw.settings.SettingsFixtures.change;
import static ebonygw.settings.SettingsFixtures.customer;
import static ebonygw.settings.SettingsFleet.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.Locality;
import ebonygw.settings.Edit.Assign;
import ebonygw.settings.FieldValue.Decimal;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StagedChangeTest {
    private static final Locality KINGSTON = new Locality("kingston", "a");
    private static final Edit WEIGHT = new Assign(customer(0), Field.WEIGHT, new Decimal(7));
    private static final Edit STAGE = new Edit.Stage(Set.of("kingston"), List.of(WEIGHT));

    private final SettingsFleet mFleet = new SettingsFleet(4, new SplittableRandom(1));
    private int mNextId;

    @BeforeEach
    void start() {
        run(SettingsFixtures.base());
        run(List.of(adapter("a1", customer(0))));
    }

    @Test
    void aStagedChangeIsInForceOnlyInItsRegionUntilItIsPromoted() {
        run(List.of(STAGE));

        assertThat(weights()).containsExactly(7.0, 1.0, 7.0, 1.0);
        run(List.of(new Edit.Promote()));
        assertThat(weights()).containsExactly(7.0, 7.0, 7.0, 7.0);
        assertThat(mFleet.node(0).mReplica.state().tree().staged()).isEmpty();
    }

    @Test
    void aStagedChangeIsRestoredFromASnapshotAndCanBeAbandoned() {
        run(List.of(STAGE));
        SettingsState state = mFleet.node(0).mReplica.state();

        SettingsState restored = restored(state);

        assertThat(restored.tree().staged()).isEqualTo(state.tree().staged());
        assertThat(restored.viewAt(KINGSTON).customer("c0").orElseThrow().weight()).isEqualTo(7);
        run(List.of(new Edit.Abandon()));
        assertThat(weights()).containsOnly(1.0);
    }

    @Test
    void anIncreaseOfRefusalsHoldsTheChangeOnceEvenIfSeveralProcessesDetectIt() {
        StageGuard first = guard(0);
        StageGuard second = guard(2);
        for (int i = 0; i < 30; i++) {
            count(first, 0, 100 * i, i);
            count(second, 2, 100 * i, i);
            mFleet.run(SECOND);
        }
        run(List.of(STAGE));
        count(first, 0, 3010, 31);
        mFleet.run(SECOND);
        assertThat(weights()).containsExactly(7.0, 1.0, 7.0, 1.0);

        long before = mFleet.node(0).mReplica.state().revision();
        count(first, 0, 3200, 60);
        count(second, 2, 3200, 60);
        mFleet.run(3 * SECOND);

        assertThat(weights()).containsOnly(1.0);
        SettingsState state = mFleet.node(1).mReplica.state();
        assertThat(state.revision()).isEqualTo(before + 1);
        SettingsChange hold = state.logged(state.revision()).orElseThrow().record().change();
        assertThat(hold.author()).isEqualTo("stage-guard");
        assertThat(hold.comment()).startsWith("refusals rose from 1.0% to");
        assertThat(reasons(new Edit.Promote()))
                .containsExactly("staged: is held; resume or abandon it first");
        run(List.of(new Edit.Resume()));
        assertThat(weights()).containsExactly(7.0, 1.0, 7.0, 1.0);
    }

    @Test
    void aConstantRefusalRatioDoesNotHoldTheChange() {
        StageGuard guard = guard(0);
        for (int i = 0; i < 30; i++) {
            count(guard, 0, 100 * i, 20 * i);
            mFleet.run(SECOND);
        }
        run(List.of(STAGE));
        for (int i = 30; i < 60; i++) {
            count(guard, 0, 100 * i, 20 * i);
            mFleet.run(SECOND);
        }

        assertThat(weights()).containsExactly(7.0, 1.0, 7.0, 1.0);
    }

    @Test
    void aStagedChangeWithInvalidEditsIsRefusedWithAllReasons() {
        assertThat(
                        reasons(
                                new Edit.Stage(
                                        Set.of("nowhere"),
                                        List.of(
                                                new Assign(customer(0), Field.RATE, new Whole(5)),
                                                new Edit.Remove(customer(1)),
                                                new Assign(
                                                        customer(9),
                                                        Field.WEIGHT,
                                                        new Decimal(5))))))
                .containsExactlyInAnyOrder(
                        "staged: no such region: nowhere",
                        "staged: rate applies to the whole fleet and cannot be staged",
                        "staged: a staged change can only set or clear fields",
                        "customer/c9: does not exist");
        assertThat(
                        reasons(
                                new Edit.Stage(
                                        Set.of("kingston"),
                                        List.of(
                                                new Assign(
                                                        NodeKey.parse("adapter/a1"),
                                                        Field.DEFAULT_VERSION,
                                                        new Text("9"))))))
                .containsExactly("adapter/a1: its default version is not among its versions: 9");
    }

    private void count(StageGuard guard, int node, long requests, long refusals) {
        guard.onCounts(requests, refusals, mFleet.mNow, mFleet.node(node));
    }

    private StageGuard guard(int node) {
        return new StageGuard(mFleet.node(node).mReplica, mFleet.node(node).mWriter, KINGSTON);
    }

    private List<String> reasons(Edit edit) {
        return mFleet
                .node(0)
                .mReplica
                .state()
                .preview(change("x", -1, List.of(edit)), version -> false)
                .getLeft()
                .stream()
                .map(Reason::toString)
                .toList();
    }

    private static SettingsState restored(SettingsState state) {
        try {
            return SettingsSnapshot.of(state).restore();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    private void run(List<Edit> edits) {
        long correlationId = mFleet.submit(0, change("change-" + mNextId++, -1, edits));
        mFleet.run(2 * SECOND);
        assertThat(mFleet.mOutcomes.get(correlationId)).isInstanceOf(ChangeOutcome.Accepted.class);
    }

    private List<Double> weights() {
        return mFleet.nodes().stream()
                .map(node -> node.mReplica.view().customer("c0").orElseThrow().weight())
                .toList();
    }
}
