package ebonygw.bench.path;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ebonygw.cli.Command;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class PathBenchTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @Test
    void shortRunCompletesAllRequestsDirectlyAndThroughThePath() throws Exception {
        int status =
                run("--json", "--requests=50", "--rounds=1", "--load-requests=500", "--warm-up=50");
        JsonNode result = new ObjectMapper().readTree(mOut.toString(StandardCharsets.UTF_8));
        assertThat(status).as(result.toString()).isEqualTo(Command.OK);
        assertThat(result.path("failures").asLong(-1)).isZero();
        assertThat(result.path("direct_p50_us").asDouble()).isPositive();
        assertThat(result.path("path_p50_us").asDouble()).isPositive();
        assertThat(result.path("requests_per_second_per_core").asDouble()).isPositive();
    }

    @Test
    void objectivesFailOnTooMuchAddedLatencyOrTooFewRequestsPerCore() {
        assertThat(result(1_000, 5_000).meetsObjectives()).isTrue();
        assertThat(result(1_101, 5_000).meetsObjectives()).isFalse();
        assertThat(result(1_000, 4_999).meetsObjectives()).isFalse();
    }

    @Test
    void invalidArgumentsGiveUsageStatus() throws Exception {
        assertThat(run("--requests=0")).isEqualTo(Command.USAGE);
        assertThat(run("--unknown")).isEqualTo(Command.USAGE);
        assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("bench path:");
    }

    private static PathResult result(double pathP50Micros, double perCore) {
        return new PathResult(100, 200, pathP50Micros, 2_000, 5_000, 1, perCore, 0);
    }

    private int run(String... args) throws Exception {
        return new PathBench()
                .run(List.of(args), new PrintStream(mOut, true), new PrintStream(mErr, true));
    }
}
