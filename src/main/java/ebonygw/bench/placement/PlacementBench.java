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

/** Compares the placement's decisions with simple ones and checks their bounds. */
public final class PlacementBench implements Command {
    /** Name of the decision classes' rows. */
    static final String DECISIONS = "ebonygw";

    /** Name of the baseline that chooses any replica. */
    static final String RANDOM = "random+lru";

    /** Name of the baseline that chooses the replica with the fewest requests. */
    static final String LEAST = "least-outstanding+lru";

    /** Name of the baseline that chooses by hash alone. */
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

    /** Runs the decision classes and all baselines over the arrivals of a seed. */
    static Map<String, RunResult> runAll(Scenario scenario, long seed) {
        List<Arrival> arrivals = PlacementRun.arrivals(scenario, seed);
        Map<String, Function<Fleet, PlacementStrategy>> strategies = new LinkedHashMap<>();
        strategies.put(DECISIONS, DecisionStrategy::new);
        strategies.put(RANDOM, PlacementRun.randomChoice(seed));
        strategies.put(LEAST, BaselineStrategy::leastOutstanding);
        strategies.put(RENDEZVOUS, PlacementRun::rendezvous);
        Map<String, RunResult> results = new LinkedHashMap<>();
        strategies.forEach(
                (name, strategy) ->
                        results.put(name, PlacementRun.run(scenario, arrivals, strategy, seed)));
        return results;
    }

    private static final class Options {
        @Option(name = "--seeds", usage = "number of seeds, from 1")
        private int mSeeds = 20;

        @Option(name = "--size", usage = "harbourside or atlas")
        private String mSize = "harbourside";

        @Option(name = "--slots", usage = "adapter slots of a replica")
        private int mSlots;

        @Option(name = "--zipf", usage = "exponent of the adapters' popularity")
        private double mZipf;

        @Option(name = "--rate", usage = "model requests a second")
        private double mRate;

        @Option(name = "--json", usage = "print JSON instead of a table")
        private boolean mJson;

        @Option(name = "--plot", usage = "write a plot to this PNG file")
        private String mPlot;

        Scenario scenario() {
            if (mSeeds < 1) {
                throw new IllegalArgumentException("--seeds must be positive");
            }
            Scenario scenario = Scenario.named(mSize);
            return scenario.withAdapters(
                    mSlots > 0 ? mSlots : scenario.slots(),
                    mZipf > 0 ? mZipf : scenario.zipfExponent(),
                    mRate > 0 ? mRate : scenario.requestsPerSecond());
        }
    }
}
