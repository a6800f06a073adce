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

class LingeringAttemptsTest {
    private static final long ENDED_NANOS = 1_000_000_000L;
    private static final long AFTER_LAG_NANOS =
            ENDED_NANOS + LingeringAttempts.MAX_REPORT_LAG_NANOS;

    private final LingeringAttempts mAttempts = new LingeringAttempts();
    private final List<Work> mReleased = new ArrayList<>();

    LingeringAttemptsTest() {
        mAttempts.add(work(), ENDED_NANOS, ENDED_NANOS);
    }

    @Test
    void anAttemptIsKeptWhileTheEngineRunsMoreRequestsThanAreAwaited() {
        mAttempts.onReport(3, 2, AFTER_LAG_NANOS, mReleased::add);

        assertThat(mReleased).isEmpty();
        assertThat(mAttempts.size()).isEqualTo(1);
    }

    @Test
    void aReportWithinTheReportLagReleasesNothing() {
        mAttempts.onReport(0, 0, AFTER_LAG_NANOS - 1, mReleased::add);

        assertThat(mReleased).isEmpty();
    }

    @Test
    void aReportAfterTheLagOfNoMoreRequestsThanAreAwaitedReleasesIt() {
        mAttempts.onReport(2, 2, AFTER_LAG_NANOS, mReleased::add);

        assertThat(mReleased).hasSize(1);
        assertThat(mAttempts.size()).isZero();
    }

    @Test
    void aRestartOfTheEngineReleasesIt() {
        mAttempts.onRestart(mReleased::add);

        assertThat(mReleased).hasSize(1);
    }

    @Test
    void itIsReleasedWhenItIsPastItsDeadlineByMoreThanTheMaxOvertime() {
        mAttempts.onTick(ENDED_NANOS + LingeringAttempts.MAX_OVERTIME_NANOS, mReleased::add);
        assertThat(mReleased).isEmpty();

        mAttempts.onTick(ENDED_NANOS + LingeringAttempts.MAX_OVERTIME_NANOS + 1, mReleased::add);
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
