package ebonygw;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LingeringRunsTest {
    private static final long GIVEN_UP = 1_000_000_000L;
    private static final long LATER = GIVEN_UP + LingeringRuns.REPORT_LAG_NANOS;

    private final LingeringRuns mRuns = new LingeringRuns();
    private final List<Work> mReleased = new ArrayList<>();

    LingeringRunsTest() {
        mRuns.add(work(), GIVEN_UP, GIVEN_UP);
    }

    @Test
    void aGivenUpAttemptIsHeldWhileTheEngineRunsMoreThanWeAwait() {
        mRuns.onReport(3, 2, LATER, mReleased::add);

        assertThat(mReleased).isEmpty();
        assertThat(mRuns.size()).isEqualTo(1);
    }

    @Test
    void aReportThatMayBeOlderThanTheEndSaysNothing() {
        mRuns.onReport(0, 0, LATER - 1, mReleased::add);

        assertThat(mReleased).isEmpty();
    }

    @Test
    void aLaterReportOfNothingElseRunningReleasesIt() {
        mRuns.onReport(2, 2, LATER, mReleased::add);

        assertThat(mReleased).hasSize(1);
        assertThat(mRuns.size()).isZero();
    }

    @Test
    void aRestartOfTheEngineReleasesIt() {
        mRuns.onRestart(mReleased::add);

        assertThat(mReleased).hasSize(1);
    }

    @Test
    void itIsReleasedInAnyCaseLongAfterItsDeadline() {
        mRuns.onTick(GIVEN_UP + LingeringRuns.OVERTIME_NANOS, mReleased::add);
        assertThat(mReleased).isEmpty();

        mRuns.onTick(GIVEN_UP + LingeringRuns.OVERTIME_NANOS + 1, mReleased::add);
        assertThat(mReleased).hasSize(1);
    }

    private static Work work() {
        return new Work(
                new RequestId(new NodeId("entry-1"), 1, 1),
                1,
                "customer",
                "key",
                "route",
                Optional.of(new AdapterVersion("adapter", "v1")),
                true,
                0,
                1,
                1,
                0,
                false,
                new Payload("POST", "/", Map.of(), ByteString.EMPTY));
    }
}
