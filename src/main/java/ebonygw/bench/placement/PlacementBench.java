package ebonygw.bench.placement;

import ebonygw.cli.Command;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command {@code bench placement}: compares the production placement with simple strategies on
 * the same simulated arrivals, and checks the bounds that it must meet.
 */
public final class PlacementBench implements Command {
    /** Name of the production strategy in reports. */
    static final String PRODUCTION = "ebonygw";

    /** Name of the baseline that chooses a random replica. */
    static final String RANDOM = "random+lru";

    /** Name of the baseline that chooses the replica with the fewest outstanding requests. */
    static final String LEAST_OUTSTANDING = "least-outstanding+lru";

    /**
     * Name of the baseline that chooses by rendezvous hashing of the adapter, whatever the load.
     */
    static final String RENDEZVOUS = "rendezvous+lru";

    /** Creates the command. */
    public PlacementBench() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
            options.scenario();
        } catch (CmdLineException | IllegalArgumentException e) {
            err.println("bench placement: " + e.getMessage());
            parser.printUsage(err);
            return USAGE;
        }
        Scenario scenario = options.scenario();
        List<Map<String, RunResult>> bySeed =
                IntStream.rangeClosed(1, options.mSeeds)
                        .parallel()
                        .mapToObj(seed -> runAll(scenario, seed))
                        .toList();
        Map<String, RunResult> merged = new LinkedHashMap<>();
        for (String name : bySeed.get(0).keySet()) {
            merged.put(name, RunResult.merge(bySeed.stream().map(m -> m.get(name)).toList()));
        }
        List<Bound> bounds = Bound.check(bySeed, merged);
        PlacementReport report =
                new PlacementReport(scenario, options.mSeeds, merged, bounds, bySeed);
        if (options.mJson) {
            report.printJson(out);
        } else {
            report.printTable(out);
        }
        if (options.mPlot != null) {
            PlacementPlot.write(Path.of(options.mPlot), scenario, merged);
        }
        return bounds.stream().allMatch(Bound::met) ? OK : FAILED;
    }

    /** Runs the production strategy and all baselines over the arrivals of a seed. */
    static Map<String, RunResult> runAll(Scenario scenario, long seed) {
        List<Arrival> arrivals = PlacementRun.arrivals(scenario, seed);
        Map<String, Function<Fleet, PlacementStrategy>> strategies = new LinkedHashMap<>();
        strategies.put(PRODUCTION, ProductionStrategy::new);
        strategies.put(RANDOM, PlacementRun.randomReplica(seed));
        strategies.put(LEAST_OUTSTANDING, BaselineStrategy::leastOutstanding);
        strategies.put(RENDEZVOUS, PlacementRun::rendezvous);
        Map<String, RunResult> results = new LinkedHashMap<>();
        strategies.forEach(
                (name, strategy) ->
                        results.put(name, PlacementRun.run(scenario, arrivals, strategy, seed)));
        return results;
    }

    private static final class Options {
        @Option(name = "--seeds", usage = "number of random seeds to run, at least 1")
        private int mSeeds = 20;

        @Option(name = "--size", usage = "size of the simulated fleet: harbourside or atlas")
        private String mSize = "harbourside";

        @Option(
                name = "--slots",
                usage = "adapter slots per replica; 0 takes the value of the size")
        private int mSlots;

        @Option(
                name = "--zipf",
                usage = "Zipf exponent of adapter popularity; 0 takes the value of the size")
        private double mZipf;

        @Option(name = "--rate", usage = "model requests per second; 0 takes the value of the size")
        private double mRate;

        @Option(name = "--json", usage = "print the report as JSON instead of a table")
        private boolean mJson;

        @Option(name = "--plot", usage = "write a plot of the stall times to this PNG file")
        private String mPlot;

        Scenario scenario() {
            if (mSeeds < 1) {
                throw new IllegalArgumentException("--seeds must be at least 1, is " + mSeeds);
            }
            Scenario scenario = Scenario.ofName(mSize);
            return scenario.withOverrides(
                    mSlots > 0 ? mSlots : scenario.slots(),
                    mZipf > 0 ? mZipf : scenario.zipfExponent(),
                    mRate > 0 ? mRate : scenario.requestsPerSecond());
        }
    }
}
