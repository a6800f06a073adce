package ebonygw.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    private static final String ENTRY =
            """
            time=2026-01-01T00:00:01Z level=INFO event=attempt_sent request=r1 attempt=1 target=i-1
            time=2026-01-01T00:00:01.5Z level=INFO event=attempt_sent request=r2 target=i-2
            time=2026-01-01T00:00:02Z level=INFO event=attempt_ended request=r1 attempt=1 \
            why="LOST: connection lost" may_have_run=true retry=true
            time=2026-01-01T00:00:02.1Z level=INFO event=target_ejected target=i-1
            time=2026-01-01T00:00:03Z level=INFO event=request_refused request=r1 code=LOST \
            verdict=MAY_HAVE_RUN detail="status 500"
            time=2026-01-01T00:00:03Z level=INFO event=request_ended request=r1 outcome=lost
            time=2026-01-01T00:00:09Z level=INFO event=request_refused request=r3 \
            code=CRASHING_PROMPT verdict=NOT_RUN detail="part ab"
            time=2026-01-01T00:00:07Z level=INFO event=evacuation_started data_center=z1
            time=2026-01-01T00:00:10Z level=INFO event=request_refused request=r4 \
            code=UNAVAILABLE verdict=NOT_RUN detail="no target of s1 EVACUATED=2"
            time=2026-01-01T00:00:11Z level=INFO event=evacuation_started data_center=z2
            """;
    private static final String OTHER =
            """
            time=2026-01-01T00:00:01.2Z level=INFO event=order_done adapter=m0/a1 outcome=ACCEPTED
            time=2026-01-01T00:00:01.1Z level=INFO event=adapter_awaited request=r1 adapter=m0/a1
            time=2026-01-01T00:00:04Z level=INFO event=part_blocked part=ab crashed=i-1,i-2,i-3
            time=2026-01-01T00:00:04Z level=INFO event=part_blocked part=cd crashed=i-1,i-2,i-3
            """;

    @TempDir Path mFolder;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    private int explain(String request) throws IOException {
        Files.writeString(mFolder.resolve("entry.log"), ENTRY);
        Files.writeString(mFolder.resolve("other.log"), OTHER);
        return new ExplainCommand()
                .run(
                        List.of(
                                "--request",
                                request,
                                mFolder.resolve("entry.log").toString(),
                                mFolder.resolve("other.log").toString()),
                        new PrintStream(mOut),
                        new PrintStream(mOut));
    }

    @Test
    void linesOfAllProcessesAreInTimeOrderAndTheEndingDecisionIsNamed() throws IOException {
        assertThat(explain("r1")).isZero();

        String[] lines = mOut.toString().split("\n");
        assertThat(lines).hasSize(8);
        assertThat(lines[1]).startsWith("other.log: ").contains("adapter_awaited");
        assertThat(lines[2]).contains("order_done");
        assertThat(lines[4]).contains("target_ejected");
        assertThat(lines[7])
                .isEqualTo("ended by request_refused: LOST status 500, may have run: MAY_HAVE_RUN");
    }

    @Test
    void aRequestRefusedForAPromptPartIsExplainedByTheBlockOfThatPart() throws IOException {
        assertThat(explain("r3")).isZero();

        assertThat(mOut.toString().split("\n")).hasSize(3);
        assertThat(mOut.toString()).contains("part_blocked part=ab").doesNotContain("part=cd");
    }

    // Guards against a refusal whose cause, an evacuation long before it, is not shown.
    @Test
    void aRequestRefusedInAnEvacuationIsExplainedByItsStart() throws IOException {
        assertThat(explain("r4")).isZero();

        assertThat(mOut.toString()).contains("data_center=z1").doesNotContain("data_center=z2");
    }

    @Test
    void aRequestWithoutLogLinesIsReportedAndFails() throws IOException {
        assertThat(explain("r9")).isEqualTo(1);
        assertThat(mOut.toString()).contains("no line about request r9");
    }

    @Test
    void withoutARequestTheUsageStatusIsReturned() throws IOException {
        int status =
                new ExplainCommand().run(List.of(), new PrintStream(mOut), new PrintStream(mOut));
        assertThat(status).isEqualTo(2);
    }
}
