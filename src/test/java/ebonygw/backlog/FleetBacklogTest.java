package ebonygw.backlog;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class FleetBacklogTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long INTERVAL = BacklogReport.MIN_INTERVAL_NANOS;
    private static final NodeId FIRST = new NodeId("entry-1");
    private static final NodeId SECOND = new NodeId("entry-2");

    private final FleetBacklog mFleet = new FleetBacklog();

    private Map<NodeId, Long> due(long nowNanos) {
        Map<NodeId, Long> sent = new TreeMap<>();
        mFleet.sendDue(nowNanos, sent::put);
        return sent;
    }

    /** Guards against an entry that counts its own tokens twice, or not those of others. */
    @Test
    void eachEntryIsToldTheSumOfTheOthers() {
        mFleet.onReport(FIRST, 9_000);
        mFleet.onReport(SECOND, 4_000);

        assertThat(due(NOW)).containsOnly(Map.entry(FIRST, 4_000L), Map.entry(SECOND, 9_000L));
    }

    /** Guards against a message for every request when many small prompts arrive. */
    @Test
    void smallAndFrequentChangesAreNotReported() {
        mFleet.onReport(FIRST, 0);
        mFleet.onReport(SECOND, 0);
        due(NOW);

        mFleet.onReport(SECOND, BacklogReport.MIN_CHANGE_TOKENS - 1);
        assertThat(due(NOW + INTERVAL)).isEmpty();
        mFleet.onReport(SECOND, BacklogReport.MIN_CHANGE_TOKENS);
        assertThat(due(NOW + INTERVAL - 1)).isEmpty();
        assertThat(due(NOW + INTERVAL)).containsEntry(FIRST, BacklogReport.MIN_CHANGE_TOKENS);
    }

    /** Guards against a target that looks busy for ever after an entry was killed. */
    @Test
    void theTokensOfAnEntryThatDisconnectsAreDiscarded() {
        mFleet.onReport(FIRST, 0);
        mFleet.onReport(SECOND, 30_000);
        due(NOW);

        mFleet.onDisconnected(SECOND);

        assertThat(due(NOW + INTERVAL)).containsOnly(Map.entry(FIRST, 0L));
        assertThat(mFleet.totalTokens()).isZero();
    }

    /** Guards against drift of the sum over any history of reports and lost connections. */
    @Test
    void theLastReportsOfAnyHistoryDifferFromTheTruthByLessThanAReportableChange() {
        for (long seed = 1; seed <= 50; seed++) {
            FleetBacklog fleet = new FleetBacklog();
            SplittableRandom random = new SplittableRandom(seed);
            Map<NodeId, Long> truth = new HashMap<>();
            Map<NodeId, Long> told = new HashMap<>();
            long now = NOW;
            for (int step = 0; step < 400; step++) {
                NodeId entry = new NodeId("entry-" + random.nextInt(6));
                if (random.nextInt(10) == 0) {
                    fleet.onDisconnected(entry);
                    truth.remove(entry);
                    told.remove(entry);
                } else {
                    truth.put(entry, random.nextLong(40_000));
                    fleet.onReport(entry, truth.get(entry));
                }
                now += random.nextLong(INTERVAL);
                fleet.sendDue(now, told::put);
            }
            fleet.sendDue(now + INTERVAL, told::put);
            long total = truth.values().stream().mapToLong(Long::longValue).sum();
            assertThat(fleet.totalTokens()).as("seed %s", seed).isEqualTo(total);
            truth.forEach(
                    (entry, own) ->
                            assertThat(Math.abs(told.get(entry) - (total - own)))
                                    .isLessThan(BacklogReport.MIN_CHANGE_TOKENS));
        }
    }

    /** Guards against outdated tokens after the loader's connection was lost. */
    @Test
    void anEntryForgetsTheBacklogAndReportsItsOwnAgainAfterAReset() {
        TargetBacklog backlog = new TargetBacklog();
        assertThat(backlog.drainIfDue(500, NOW)).isEqualTo(OptionalLong.of(500));
        backlog.onReport(7_000);
        assertThat(backlog.othersTokens()).isEqualTo(OptionalLong.of(7_000));

        backlog.reset();

        assertThat(backlog.othersTokens()).isEmpty();
        assertThat(backlog.drainIfDue(500, NOW + 1)).isEqualTo(OptionalLong.of(500));
    }

    /** Guards against one impossible number that makes a loaded target look idle to all. */
    @Test
    void anImpossibleReportIsBoundedAndCounted() {
        mFleet.onReport(FIRST, 0);
        mFleet.onReport(SECOND, Long.MAX_VALUE);
        mFleet.onReport(new NodeId("entry-3"), 5_000);

        assertThat(due(NOW)).containsEntry(FIRST, TargetBacklog.MAX_TOKENS + 5_000);
        assertThat(mFleet.invalidReports()).isEqualTo(1);
        TargetBacklog backlog = new TargetBacklog();
        backlog.onReport(Long.MAX_VALUE);
        assertThat(backlog.othersTokens()).isEqualTo(OptionalLong.of(TargetBacklog.MAX_TOKENS));
    }
}
