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
 * {@code bench path}: the time that entry and target process add to the direct engine, and the
 * requests a second that a core carries, over loopback in one run.
 */
public final class PathBench implements Command {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    private final PathFleet.Starter mStarter;

    /** Creates the command over real processes. */
    public PathBench() {
        this(DevPathFleet::start);
    }

    PathBench(PathFleet.Starter starter) {
        mStarter = Objects.requireNonNull(starter, "starter");
    }

    /** Arguments of the command. */
    private static final class Arguments {
        @Option(name = "--json", usage = "print the figures as JSON")
        private boolean mJson;

        @Option(name = "--check", usage = "end with status 1 if a target is missed")
        private boolean mCheck;

        @Option(name = "--requests", usage = "requests of each latency run")
        private int mRequests = 4_000;

        @Option(name = "--rounds", usage = "latency runs, direct and through the path in turn")
        private int mRounds = 5;

        @Option(name = "--load-requests", usage = "requests of the run under load")
        private int mLoadRequests = 100_000;

        @Option(name = "--callers", usage = "callers at once under load")
        private int mCallers = 64;

        @Option(name = "--warm-up", usage = "requests before the first measured one")
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
            err.println("bench path: counts have to be positive");
            return USAGE;
        }
        PathResult result = measure(arguments);
        out.println(arguments.mJson ? new ObjectMapper().writeValueAsString(result) : text(result));
        boolean kept = !arguments.mCheck || result.meetsTargets();
        return result.failures() == 0 && kept ? OK : FAILED;
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
                ClosedLoop direct =
                        new ClosedLoop(fleet.engine(), fleet.engineRequest(), arguments.mCallers);
                ClosedLoop path =
                        new ClosedLoop(fleet.entry(), fleet.callerRequest(), arguments.mCallers)) {
            return measure(arguments, direct, path);
        }
    }

    private PathResult measure(Arguments arguments, ClosedLoop direct, ClosedLoop path)
            throws InterruptedException {
        direct.run(arguments.mWarmUp, arguments.mCallers);
        long failures = path.run(arguments.mWarmUp, arguments.mCallers).failures();
        Histogram directTimes = null;
        Histogram pathTimes = null;
        for (int round = 0; round < arguments.mRounds; round++) {
            ClosedLoop.Result directRun = direct.run(arguments.mRequests, 1);
            ClosedLoop.Result pathRun = path.run(arguments.mRequests, 1);
            failures += directRun.failures() + pathRun.failures();
            directTimes = sum(directTimes, directRun.latencies());
            pathTimes = sum(pathTimes, pathRun.latencies());
        }
        CpuUse before = CpuUse.now();
        ClosedLoop.Result load = path.run(arguments.mLoadRequests, arguments.mCallers);
        long cpuNanos = CpuUse.now().insideSince(before);
        return new PathResult(
                micros(directTimes, MEDIAN),
                micros(directTimes, TAIL),
                micros(pathTimes, MEDIAN),
                micros(pathTimes, TAIL),
                load.perSecond(),
                (double) cpuNanos / load.elapsedNanos(),
                load.latencies().getTotalCount() * 1e9 / cpuNanos,
                failures + load.failures());
    }

    private static Histogram sum(Histogram total, Histogram run) {
        if (total == null) {
            return run;
        }
        total.add(run);
        return total;
    }
}
