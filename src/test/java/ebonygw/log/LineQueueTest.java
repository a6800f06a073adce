package ebonygw.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

class LineQueueTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final LineQueue mQueue = new LineQueue(new PrintStream(mBytes));

    @Test
    void linesAreWrittenInOrder() {
        mQueue.offer("a", "event=a n=1", 0);
        mQueue.offer("b", "event=b n=2", 0);

        mQueue.drain();

        assertThat(mBytes).hasToString("event=a n=1\nevent=b n=2\n");
    }

    @Test
    void aFullQueueDropsLinesAndReportsTheirNumber() {
        int dropped = 0;
        for (int i = 0; i < 5_000; i++) {
            dropped += mQueue.offer("event" + i, "event=e n=" + i, 0) ? 0 : 1;
        }

        mQueue.drain();

        assertThat(dropped).isEqualTo(5_000 - 4_096);
        assertThat(mBytes.toString()).endsWith("event=log_lines_left_out lines=" + dropped + "\n");
    }

    @Test
    void theBudgetOfOneEventDoesNotAffectAnother() {
        for (int i = 0; i < 1_000; i++) {
            mQueue.offer("served", "event=served n=" + i, 0);
        }

        assertThat(mQueue.offer("refused", "event=refused", 0)).isTrue();
        assertThat(mQueue.offer("served", "event=served", 0)).isFalse();
        assertThat(mQueue.offer("served", "event=served", SECOND_NANOS)).isTrue();
    }
}
