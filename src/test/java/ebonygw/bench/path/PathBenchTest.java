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
    void everyRequestOfAShortRunIsAnsweredDirectAndThroughThePath() throws Exception {
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
    void wrongArgumentsAreRefused() throws Exception {
        assertThat(run("--requests=0")).isEqualTo(Command.USAGE);
        assertThat(run("--unknown")).isEqualTo(Command.USAGE);
        assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("bench path:");
    }

    private int run(String... args) throws Exception {
        return new PathBench()
                .run(List.of(args), new PrintStream(mOut, true), new PrintStream(mErr, true));
    }
}
