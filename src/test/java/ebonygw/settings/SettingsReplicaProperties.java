package ebonygw.settings;

import static ebonygw.settings.SettingsFixtures.change;
import static ebonygw.settings.SettingsFleet.MILLI;
import static ebonygw.settings.SettingsFleet.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.settings.FieldValue.Whole;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SettingsReplicaProperties {
    private static final String HASH = "0".repeat(64);
    private static final KeySettings KEY = new KeySettings("k1", "c0", HASH, Long.MAX_VALUE);

    @Property(seed = "11", tries = 25)
    void racingOperatorsUnderFaultsLoseNothingAndAllAgreeAfterQuiet(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SettingsFleet fleet = new SettingsFleet(3 + random.nextInt(5), random);
        settle(fleet);

        for (int i = 0; i < 60; i++) {
            disturb(fleet, random);
            for (int writes = random.nextInt(3); writes > 0; writes--) {
                submit(fleet, random, i + "-" + writes);
            }
            fleet.run((50 + random.nextInt(400)) * MILLI);
        }
        fleet.heal();
        fleet.mService.faults(KeyValueFaults.NONE);
        fleet.run(30 * SECOND);

        assertAllAgree(fleet);
        assertOutcomesAreTrue(fleet);
    }

    @Property(seed = "12", tries = 40)
    void aWithdrawnKeyIsRefusedEverywhereWithinFiveSecondsOverOneLinkToTheService(
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 4 + random.nextInt(5);
        SettingsFleet fleet = new SettingsFleet(nodes, random);
        settle(fleet);
        accept(fleet, 0, change("issue", -1, List.of(new Edit.IssueKey(KEY))));
        fleet.run(5 * SECOND);
        fleet.nodes().forEach(n -> assertThat(n.mReplica.view().keyById("k1")).isPresent());

        int linked = random.nextInt(nodes);
        fleet.nodes().forEach(node -> node.mReachesService = node.mIndex == linked);
        fleet.mLossPercent = random.nextInt(10);
        fleet.run(random.nextLong(4 * SECOND) + SECOND);
        accept(fleet, linked, change("withdraw", -1, List.of(new Edit.WithdrawKey("k1"))));
        if (random.nextBoolean()) {
            fleet.restart(linked);
        }
        fleet.run(5 * SECOND);

        fleet.nodes()
                .forEach(
                        node -> {
                            assertThat(node.mReplica.view().keyById("k1")).isEmpty();
                            assertThat(node.mReplica.view().keyByHash(HASH)).isEmpty();
                        });
    }

    @Property(seed = "13", tries = 20)
    void aWithdrawalWhoseWriterDiesIsSeenEverywhereWithinFiveSeconds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 4 + random.nextInt(5);
        SettingsFleet fleet = new SettingsFleet(nodes, random);
        settle(fleet);
        accept(fleet, 0, change("issue", -1, List.of(new Edit.IssueKey(KEY))));
        fleet.run(5 * SECOND);
        SettingsState before = fleet.node(0).mReplica.state();

        int linked = random.nextInt(nodes);
        fleet.nodes().forEach(node -> node.mReachesService = node.mIndex == linked);
        LoggedChange logged =
                before.preview(
                                change("w", -1, List.of(new Edit.WithdrawKey("k1"))),
                                version -> false)
                        .get()
                        .logged();
        fleet.mService
                .store()
                .execute(
                        new ebonygw.keyvalue.KeyValueCall.Transaction(
                                List.of(),
                                List.of(
                                        new ebonygw.keyvalue.KeyValueCall.Write(
                                                SettingsKeys.log(logged.revision()),
                                                logged.stored(),
                                                0))),
                        fleet.mNow);
        fleet.run(5 * SECOND);

        fleet.nodes().forEach(n -> assertThat(n.mReplica.view().keyById("k1")).isEmpty());
    }

    private static void accept(SettingsFleet fleet, int node, SettingsChange change) {
        long ticket = fleet.submit(node, change);
        for (int i = 0; i < 1000 && !fleet.mOutcomes.containsKey(ticket); i++) {
            fleet.run(10 * MILLI);
        }
        assertThat(fleet.mOutcomes.get(ticket)).isInstanceOf(ChangeOutcome.Accepted.class);
    }

    private static void assertAllAgree(SettingsFleet fleet) {
        SettingsState first = fleet.node(0).mReplica.state();
        for (SettingsFleet.Node node : fleet.nodes()) {
            SettingsState state = node.mReplica.state();
            assertThat(state.revision()).isEqualTo(first.revision());
            assertThat(state.lastId()).isEqualTo(first.lastId());
            assertThat(SettingsSnapshot.of(state)).isEqualTo(SettingsSnapshot.of(first));
            assertThat(node.mReplica.ready()).isTrue();
            assertThat(node.mReplica.fault()).isEmpty();
        }
        long watching = fleet.nodes().stream().filter(n -> n.mReplica.watching()).count();
        assertThat(watching).isEqualTo(2);
    }

    /** Each change sets the field of its own customer node to its number, so the tree tells. */
    private static void assertOutcomesAreTrue(SettingsFleet fleet) {
        SettingsTree tree = fleet.node(0).mReplica.state().tree();
        Map<Long, String> accepted = new HashMap<>();
        fleet.mOutcomes.forEach(
                (ticket, outcome) -> {
                    String id = fleet.mSubmitted.get(ticket);
                    NodeKey made = NodeKey.parse("customer/" + id);
                    if (outcome instanceof ChangeOutcome.Accepted done) {
                        assertThat(accepted.put(done.revision(), id)).isNull();
                        if (!id.equals("base")) {
                            assertThat(tree.node(made).map(TreeNode::revision))
                                    .contains(done.revision());
                        }
                    } else if (!(outcome instanceof ChangeOutcome.Unavailable lost
                            && lost.mayHaveTakenEffect())) {
                        assertThat(tree.node(made)).as("%s", outcome).isEmpty();
                    }
                });
        assertThat(accepted).hasSizeGreaterThan(1);
    }

    private static void disturb(SettingsFleet fleet, SplittableRandom random) {
        int nodes = fleet.nodes().size();
        switch (random.nextInt(10)) {
            case 0 -> fleet.mService.faults(KeyValueFaults.DOWN);
            case 1 ->
                    fleet.mService.faults(
                            new KeyValueFaults(false, 0, 300 * MILLI, random.nextInt(60)));
            case 2 -> fleet.mService.faults(new KeyValueFaults(false, MILLI, 4 * SECOND, 0));
            case 3, 4 -> fleet.mService.faults(KeyValueFaults.NONE);
            case 5 -> fleet.restart(random.nextInt(nodes));
            case 6 -> fleet.node(random.nextInt(nodes)).mReachesService = random.nextBoolean();
            case 7 -> fleet.cut(random.nextInt(nodes), random.nextInt(nodes));
            case 8 -> {
                fleet.mLossPercent = random.nextInt(40);
                fleet.mDuplicatePercent = random.nextInt(40);
            }
            default -> fleet.heal();
        }
    }

    private static void settle(SettingsFleet fleet) {
        accept(fleet, 0, change("base", -1, SettingsFixtures.base()));
        fleet.run(3 * SECOND);
    }

    private static void submit(SettingsFleet fleet, SplittableRandom random, String id) {
        int node = random.nextInt(fleet.nodes().size());
        NodeKey customer = NodeKey.parse("customer/" + id);
        long base = random.nextBoolean() ? -1 : fleet.node(node).mReplica.state().revision();
        fleet.submit(
                node,
                change(
                        id,
                        base,
                        List.of(
                                new Edit.Create(
                                        customer,
                                        SettingsFixtures.REGION,
                                        Map.of(Field.RATE, new Whole(1 + random.nextInt(100)))))));
    }
}
