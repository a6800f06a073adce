package ebonygw.bench.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import ebonygw.cli.Command;
import java.io.PrintStream;
import java.util.List;
import java.util.Objects;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * {@code bench path}: measures the latency that entry and target process add to requests sent to
 * the engine directly, and the requests per second per core of the two processes, over loopback.
 */
public final class PathBench implements Command {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    private final PathFleet.Starter mStarter;

    /** Creates a benchmark of a {@link DevPathFleet}. */
    public PathBench() {
        this(DevPathFleet::start);
    }

    PathBench(PathFleet.Starter starter) {
        mStarter = Objects.requireNonNull(starter, "starter");
    }

    /** Command-line arguments. */
    private static final class Arguments {
        @Option(name = "--json", usage = "print the figures as JSON")
        private boolean mJson;

        @Option(name = "--check", usage = "exit with status 1 if a performance objective is missed")
        private boolean mCheck;

        @Option(name = "--requests", usage = "number of requests in each latency run")
        private int mRequests = 4_000;

        @Option(
                name = "--rounds",
                usage =
                        "number of pairs of latency runs: directly to the engine, then through the"
                                + " path")
        private int mRounds = 5;

        @Option(name = "--load-requests", usage = "number of requests in the load run")
        private int mLoadRequests = 100_000;

        @Option(name = "--callers", usage = "number of concurrent callers in the load run")
        private int mCallers = 64;

        @Option(
                name = "--warm-up",
                usage = "number of unmeasured warm-up requests, to each of engine and path")
        private int mWarmUp = 50_000;

        private boolean valid() {
            return mRequests > 0
                    && mRounds > 0
                    && mLoadRequests > 0
                    && mCallers > 0
                    && mWarmUp >= 0;
        }
    }

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Arguments arguments = new Arguments();
        CmdLineParser parser = new CmdLineParser(arguments);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException cause) {
            err.println("bench path: " + cause.getMessage());
            return USAGE;
        }
        if (!arguments.valid()) {
            err.println(
                    "bench path: --requests, --rounds, --load-requests and --callers must be"
                            + " positive and --warm-up must not be negative");
            return USAGE;
        }
        PathResult result = measure(arguments);
        out.println(arguments.mJson ? new ObjectMapper().writeValueAsString(result) : text(result));
        boolean passed = !arguments.mCheck || result.meetsObjectives();
        return result.failures() == 0 && passed ? OK : FAILED;
    }

    private static double micros(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
    }

    private static String text(PathResult result) {
        return """
        latency over loopback, one caller, microseconds
                      p50        p99
        direct %10.1f %10.1f
        path   %10.1f %10.1f
        added  %10.1f %10.1f
        under load: %.0f requests/s on %.2f cores of entry and target process
        requests/s per core: %.0f
        failures: %d\
        """
                .formatted(
                        result.directP50Micros(),
                        result.directP99Micros(),
                        result.pathP50Micros(),
                        result.pathP99Micros(),
                        result.addedP50Micros(),
                        result.addedP99Micros(),
                        result.requestsPerSecond(),
                        result.coresUsed(),
                        result.requestsPerSecondPerCore(),
                        result.failures());
    }

    private PathResult measure(Arguments arguments) throws Exception {
        try (PathFleet fleet = mStarter.start();
                ClosedLoopGenerator direct =
                        new ClosedLoopGenerator(
                                fleet.engine(), fleet.engineRequest(), arguments.mCallers);
                ClosedLoopGenerator path =
                        new ClosedLoopGenerator(
                                fleet.entry(), fleet.callerRequest(), arguments.mCallers)) {
            return measure(arguments, direct, path);
        }
    }

    private PathResult measure(
            Arguments arguments, ClosedLoopGenerator direct, ClosedLoopGenerator path)
            throws InterruptedException {
        direct.run(arguments.mWarmUp, arguments.mCallers);
        long failures = path.run(arguments.mWarmUp, arguments.mCallers).failures();
        Histogram directTimes = null;
        Histogram pathTimes = null;
        for (int round = 0; round < arguments.mRounds; round++) {
            ClosedLoopGenerator.Result directRun = direct.run(arguments.mRequests, 1);
            ClosedLoopGenerator.Result pathRun = path.run(arguments.mRequests, 1);
            failures += directRun.failures() + pathRun.failures();
            directTimes = merge(directTimes, directRun.latencies());
            pathTimes = merge(pathTimes, pathRun.latencies());
        }
        CpuUse before = CpuUse.now();
        ClosedLoopGenerator.Result load = path.run(arguments.mLoadRequests, arguments.mCallers);
        long cpuNanos = CpuUse.now().measuredNanosSince(before);
        return new PathResult(
                micros(directTimes, MEDIAN_PERCENTILE),
                micros(directTimes, TAIL_PERCENTILE),
                micros(pathTimes, MEDIAN_PERCENTILE),
                micros(pathTimes, TAIL_PERCENTILE),
                load.requestsPerSecond(),
                (double) cpuNanos / load.elapsedNanos(),
                load.latencies().getTotalCount() * 1e9 / cpuNanos,
                failures + load.failures());
    }

    private static Histogram merge(Histogram total, Histogram run) {
        if (total == null) {
            return run;
        }
        total.add(run);
        return total;
    }
}
