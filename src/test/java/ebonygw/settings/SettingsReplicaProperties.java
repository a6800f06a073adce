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
    void concurrentChangesUnderFaultsAreNotLostAndReplicasConvergeAfterwards(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SettingsFleet fleet = new SettingsFleet(3 + random.nextInt(5), random);
        applyBaseSettings(fleet);

        for (int i = 0; i < 60; i++) {
            injectRandomFault(fleet, random);
            for (int writes = random.nextInt(3); writes > 0; writes--) {
                submit(fleet, random, i + "-" + writes);
            }
            fleet.run((50 + random.nextInt(400)) * MILLI);
        }
        fleet.heal();
        fleet.mService.setFaults(KeyValueFaults.NONE);
        fleet.run(30 * SECOND);

        assertReplicasConverged(fleet);
        assertOutcomesMatchTree(fleet);
    }

    @Property(seed = "12", tries = 40)
    void aKeyWithdrawalReachesAllProcessesWithinFiveSecondsIfOneReachesTheService(
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 4 + random.nextInt(5);
        SettingsFleet fleet = new SettingsFleet(nodes, random);
        applyBaseSettings(fleet);
        submitAccepted(fleet, 0, change("issue", -1, List.of(new Edit.IssueKey(KEY))));
        fleet.run(5 * SECOND);
        fleet.nodes().forEach(n -> assertThat(n.mReplica.view().keyById("k1")).isPresent());

        int connected = random.nextInt(nodes);
        fleet.nodes().forEach(node -> node.mReachesService = node.mIndex == connected);
        fleet.mLossPercent = random.nextInt(10);
        fleet.run(random.nextLong(4 * SECOND) + SECOND);
        submitAccepted(
                fleet, connected, change("withdraw", -1, List.of(new Edit.WithdrawKey("k1"))));
        if (random.nextBoolean()) {
            fleet.restart(connected);
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
    void aKeyWithdrawalReachesAllProcessesWithinFiveSecondsIfItsWriterCrashes(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 4 + random.nextInt(5);
        SettingsFleet fleet = new SettingsFleet(nodes, random);
        applyBaseSettings(fleet);
        submitAccepted(fleet, 0, change("issue", -1, List.of(new Edit.IssueKey(KEY))));
        fleet.run(5 * SECOND);
        SettingsState before = fleet.node(0).mReplica.state();

        int connected = random.nextInt(nodes);
        fleet.nodes().forEach(node -> node.mReachesService = node.mIndex == connected);
        LoggedChange logged =
                before.preview(
                                change("w", -1, List.of(new Edit.WithdrawKey("k1"))),
                                version -> false)
                        .get()
                        .logged();
        fleet.mService
                .store()
                .execute(
                        new ebonygw.keyvalue.KeyValueRequest.Transaction(
                                List.of(),
                                List.of(
                                        new ebonygw.keyvalue.KeyValueRequest.Write(
                                                SettingsKeys.log(logged.revision()),
                                                logged.stored(),
                                                0))),
                        fleet.mNow);
        fleet.run(5 * SECOND);

        fleet.nodes().forEach(n -> assertThat(n.mReplica.view().keyById("k1")).isEmpty());
    }

    private static void applyBaseSettings(SettingsFleet fleet) {
        submitAccepted(fleet, 0, change("base", -1, SettingsFixtures.base()));
        fleet.run(3 * SECOND);
    }

    /**
     * Checks outcomes by the tree: each change creates a customer that is named by its identifier.
     */
    private static void assertOutcomesMatchTree(SettingsFleet fleet) {
        SettingsTree tree = fleet.node(0).mReplica.state().tree();
        Map<Long, String> accepted = new HashMap<>();
        fleet.mOutcomes.forEach(
                (correlationId, outcome) -> {
                    String id = fleet.mSubmitted.get(correlationId);
                    NodeKey created = NodeKey.parse("customer/" + id);
                    if (outcome instanceof ChangeOutcome.Accepted done) {
                        assertThat(accepted.put(done.revision(), id)).isNull();
                        if (!id.equals("base")) {
                            assertThat(tree.node(created).map(TreeNode::revision))
                                    .contains(done.revision());
                        }
                    } else if (!(outcome instanceof ChangeOutcome.Unavailable unavailable
                            && unavailable.mayHaveTakenEffect())) {
                        assertThat(tree.node(created)).as("%s", outcome).isEmpty();
                    }
                });
        assertThat(accepted).hasSizeGreaterThan(1);
    }

    private static void assertReplicasConverged(SettingsFleet fleet) {
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

    private static void injectRandomFault(SettingsFleet fleet, SplittableRandom random) {
        int nodes = fleet.nodes().size();
        switch (random.nextInt(10)) {
            case 0 -> fleet.mService.setFaults(KeyValueFaults.DOWN);
            case 1 ->
                    fleet.mService.setFaults(
                            new KeyValueFaults(false, 0, 300 * MILLI, random.nextInt(60)));
            case 2 -> fleet.mService.setFaults(new KeyValueFaults(false, MILLI, 4 * SECOND, 0));
            case 3, 4 -> fleet.mService.setFaults(KeyValueFaults.NONE);
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

    private static void submitAccepted(SettingsFleet fleet, int node, SettingsChange change) {
        long correlationId = fleet.submit(node, change);
        for (int i = 0; i < 1000 && !fleet.mOutcomes.containsKey(correlationId); i++) {
            fleet.run(10 * MILLI);
        }
        assertThat(fleet.mOutcomes.get(correlationId)).isInstanceOf(ChangeOutcome.Accepted.class);
    }
}
