package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class StopPlanTest {
    private static final long SECOND = 1_000_000_000L;

    private final StopPlan mPlan = new StopPlan(new StopOptions(2 * SECOND, 30 * SECOND, SECOND));

    @Test
    void processServesUntilAStopIsRequested() {
        assertThat(mPlan.onTick(0, true, 100 * SECOND)).isEqualTo(StopPhase.SERVING);
        assertThat(mPlan.isStopping()).isFalse();
    }

    @Test
    void newWorkIsAcceptedDuringTheAnnouncementAndRefusedAfterwards() {
        mPlan.start(0);
        assertThat(mPlan.onTick(0, true, SECOND)).isEqualTo(StopPhase.ANNOUNCED);
        assertThat(mPlan.isRefusing()).isFalse();
        assertThat(mPlan.onTick(3, false, 2 * SECOND)).isEqualTo(StopPhase.FINISHING);
        assertThat(mPlan.isRefusing()).isTrue();
    }

    @Test
    void nothingIsHandedOverOrReleasedWhileRequestsRun() {
        mPlan.start(0);
        mPlan.onTick(1, true, 2 * SECOND);
        assertThat(mPlan.onTick(1, true, 31 * SECOND)).isEqualTo(StopPhase.FINISHING);
        assertThat(mPlan.onTick(0, true, 31 * SECOND)).isEqualTo(StopPhase.HANDING_OVER);
        assertThat(mPlan.abandoned()).isZero();
    }

    @Test
    void eachPhaseIsBoundedAndUnfinishedRequestsAreCounted() {
        mPlan.start(0);
        mPlan.onTick(2, false, 2 * SECOND);
        assertThat(mPlan.onTick(2, false, 32 * SECOND)).isEqualTo(StopPhase.HANDING_OVER);
        assertThat(mPlan.abandoned()).isEqualTo(2);
        assertThat(mPlan.onTick(2, false, 33 * SECOND)).isEqualTo(StopPhase.RELEASING);
        assertThat(mPlan.onTick(2, false, 33 * SECOND)).isEqualTo(StopPhase.DONE);
    }

    @Test
    void secondRequestToStopChangesNothing() {
        mPlan.start(0);
        mPlan.start(SECOND);
        assertThat(mPlan.onTick(0, true, 2 * SECOND)).isEqualTo(StopPhase.FINISHING);
    }

    @Property(tries = 200, seed = "6301")
    void phasesAdvanceOneByOneAndHandOverStartsOnlyWhenIdleOrTimedOut(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 3) Integer> running) {
        StopPlan plan = new StopPlan(new StopOptions(2 * SECOND, 20 * SECOND, 3 * SECOND));
        plan.start(0);
        StopPhase before = plan.phase();
        long now = 0;
        for (int count : running) {
            now += SECOND;
            StopPhase phase = plan.onTick(count, count == 0, now);
            assertThat(phase.ordinal() - before.ordinal()).isBetween(0, 1);
            if (before == StopPhase.FINISHING && phase == StopPhase.HANDING_OVER && count > 0) {
                assertThat(now).isGreaterThanOrEqualTo(22 * SECOND);
                assertThat(plan.abandoned()).isEqualTo(count);
            }
            before = phase;
        }
    }
}
