package ebonygw.settings;

import static ebonygw.settings.SettingsFixtures.change;
import static ebonygw.settings.SettingsFixtures.customer;
import static ebonygw.settings.SettingsFleet.MILLI;
import static ebonygw.settings.SettingsFleet.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.settings.Edit.Assign;
import ebonygw.settings.FieldValue.Whole;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SettingsReplicaTest {
    @Test
    void processesGetTwentyOneThousandAdaptersFromAPeerWhileTheServiceIsDown() {
        SettingsState large = SettingsFixtures.large(50, 21_000);
        SettingsFleet fleet = new SettingsFleet(3, new SplittableRandom(1));
        fleet.mService.setFaults(KeyValueFaults.DOWN);
        fleet.run(3 * SECOND);
        fleet.nodes().forEach(node -> assertThat(node.mReplica.ready()).isFalse());
        fleet.node(0).mReplica.install(large, null, fleet.node(0));

        fleet.run(3 * SECOND);

        for (SettingsFleet.Node node : fleet.nodes()) {
            assertThat(node.mReplica.ready()).isTrue();
            assertThat(node.mReplica.view().revision()).isEqualTo(large.revision());
            assertThat(node.mReplica.view().adapter("a20999"))
                    .isEqualTo(large.view().adapter("a20999"));
        }
    }

    @Test
    void anEmptyServiceDoesNotMakeAProcessReady() {
        SettingsFleet fleet = new SettingsFleet(2, new SplittableRandom(2));

        fleet.run(5 * SECOND);

        fleet.nodes().forEach(node -> assertThat(node.mReplica.ready()).isFalse());
    }

    @Test
    void theLogIsTrimmedAfterASnapshotFromWhichASingleProcessRestarts() {
        SettingsFleet fleet = new SettingsFleet(1, new SplittableRandom(3));
        writeChanges(fleet, 60);
        fleet.run(60 * SECOND);

        KeyValueResponse.RangeResult log = range(fleet, SettingsKeys.LOG, SettingsKeys.LOG_END);
        KeyValueResponse.RangeResult parts =
                range(fleet, SettingsKeys.PARTS, SettingsKeys.PARTS_END);
        SettingsState before = fleet.node(0).mReplica.state();
        fleet.restart(0);
        fleet.run(3 * SECOND);

        assertThat(log.entries()).hasSizeLessThan(25);
        assertThat(parts.entries()).hasSize(1);
        assertThat(fleet.node(0).mReplica.ready()).isTrue();
        assertThat(SettingsSnapshot.of(fleet.node(0).mReplica.state()))
                .isEqualTo(SettingsSnapshot.of(before));
    }

    @Test
    void ofTwoChangesWithTheSameBaseOneIsAcceptedAndOneGetsAConflictThatListsTheOther() {
        SettingsFleet fleet = new SettingsFleet(2, new SplittableRandom(4));
        writeChanges(fleet, 1);
        fleet.run(3 * SECOND);

        long first = fleet.submit(0, rate("one", 1, 10));
        long second = fleet.submit(1, rate("two", 1, 20));
        fleet.run(SECOND);

        ChangeOutcome a = fleet.mOutcomes.get(first);
        ChangeOutcome b = fleet.mOutcomes.get(second);
        ChangeOutcome conflict = a instanceof ChangeOutcome.Accepted ? b : a;
        String accepted = conflict == b ? "one" : "two";
        assertThat(conflict).isInstanceOf(ChangeOutcome.Conflict.class);
        assertThat(((ChangeOutcome.Conflict) conflict).others())
                .extracting(record -> record.change().id())
                .containsExactly(accepted);
    }

    @Test
    void aChangeDuringAnOutageIsReportedAsUnavailableWithoutEffect() {
        SettingsFleet fleet = new SettingsFleet(2, new SplittableRandom(5));
        writeChanges(fleet, 1);
        fleet.mService.setFaults(KeyValueFaults.DOWN);

        long correlationId = fleet.submit(0, rate("x", -1, 10));
        fleet.run(6 * SECOND);

        assertThat(fleet.mOutcomes.get(correlationId))
                .isInstanceOfSatisfying(
                        ChangeOutcome.Unavailable.class,
                        unavailable -> assertThat(unavailable.mayHaveTakenEffect()).isFalse());
        assertThat(fleet.node(0).mReplica.view().customer("c0")).isPresent();
    }

    @Test
    void aLostResponseIsResolvedWithoutAppendingTheChangeTwice() {
        SettingsFleet fleet = new SettingsFleet(1, new SplittableRandom(6));
        writeChanges(fleet, 1);
        fleet.mService.setFaults(new KeyValueFaults(false, MILLI, 0, 60));

        long correlationId = fleet.submit(0, rate("x", 1, 10));
        fleet.run(6 * SECOND);

        assertThat(fleet.mOutcomes.get(correlationId)).isEqualTo(new ChangeOutcome.Accepted(2));
        assertThat(fleet.node(0).mReplica.state().revision()).isEqualTo(2);
    }

    @Test
    void aChangeWhoseResponsesAreLostIsReportedAsPossiblyInEffect() {
        SettingsFleet fleet = new SettingsFleet(1, new SplittableRandom(8));
        writeChanges(fleet, 1);
        fleet.mService.setFaults(new KeyValueFaults(false, 100 * MILLI, 0, 0));
        long correlationId = fleet.submit(0, rate("x", 1, 10));
        fleet.run(150 * MILLI);
        fleet.mService.setFaults(new KeyValueFaults(false, MILLI, 0, 100));
        fleet.run(8 * SECOND);

        assertThat(fleet.mOutcomes.get(correlationId))
                .isInstanceOfSatisfying(
                        ChangeOutcome.Unavailable.class,
                        unavailable -> assertThat(unavailable.mayHaveTakenEffect()).isTrue());
        fleet.mService.setFaults(KeyValueFaults.NONE);
        fleet.run(5 * SECOND);
        assertThat(fleet.node(0).mReplica.state().lastId()).isEqualTo("x");
    }

    @Test
    void aLogWithADifferentHistoryIsReportedOnceAndNotApplied() {
        SettingsFleet fleet = new SettingsFleet(1, new SplittableRandom(9));
        writeChanges(fleet, 3);
        SettingsState other =
                SettingsFixtures.with(SettingsState.EMPTY, "base", SettingsFixtures.base());
        for (int i = 2; i <= 4; i++) {
            other =
                    SettingsFixtures.with(
                            other,
                            "other-" + i,
                            List.of(new Assign(customer(0), Field.RATE, new Whole(500 + i))));
            LoggedChange logged = other.logged(i).orElseThrow();
            fleet.mService
                    .store()
                    .execute(
                            new KeyValueRequest.Transaction(
                                    List.of(),
                                    List.of(
                                            new KeyValueRequest.Write(
                                                    SettingsKeys.log(i), logged.stored(), 0))),
                            fleet.mNow);
        }
        fleet.run(3 * SECOND);

        SettingsReplica replica = fleet.node(0).mReplica;
        assertThat(replica.state().revision()).isEqualTo(3);
        assertThat(replica.view().customer("c0").orElseThrow().ratePerSecond()).isEqualTo(2);
        assertThat(replica.newFault().orElseThrow())
                .contains(
                        "does not follow revision 3: expected the previous change rate-2, got"
                                + " other-3");
        assertThat(replica.newFault()).isEmpty();
    }

    @Test
    void theRequestRateOfTheServiceDoesNotGrowWithTheFleet() {
        long ofSmallFleet = requestsInTwentySeconds(4);
        long ofLargeFleet = requestsInTwentySeconds(32);

        assertThat(ofLargeFleet).isLessThan(ofSmallFleet * 3 / 2);
        assertThat(ofSmallFleet).isLessThan(20 * 10);
    }

    private static KeyValueResponse.RangeResult range(SettingsFleet fleet, String from, String to) {
        return (KeyValueResponse.RangeResult)
                fleet.mService.store().execute(new KeyValueRequest.Range(from, to, 0), fleet.mNow);
    }

    private static SettingsChange rate(String id, long base, long rate) {
        return change(id, base, List.of(new Assign(customer(0), Field.RATE, new Whole(rate))));
    }

    private static long requestsInTwentySeconds(int nodes) {
        SettingsFleet fleet = new SettingsFleet(nodes, new SplittableRandom(7));
        writeChanges(fleet, 1);
        fleet.run(5 * SECOND);
        long before = fleet.mService.requestCount();
        fleet.run(20 * SECOND);
        return fleet.mService.requestCount() - before;
    }

    private static void writeChanges(SettingsFleet fleet, int changes) {
        fleet.submit(0, change("base", -1, SettingsFixtures.base()));
        fleet.run(SECOND);
        for (int i = 1; i < changes; i++) {
            fleet.submit(0, rate("rate-" + i, -1, i));
            fleet.run(100 * MILLI);
        }
        assertThat(fleet.node(0).mReplica.state().revision()).isEqualTo(changes);
    }
}
