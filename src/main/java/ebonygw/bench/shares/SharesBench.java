package ebonygw.bench.shares;

import ebonygw.bench.shares.Scenario.Arrival;
import ebonygw.bench.shares.Scenario.Fault;
import ebonygw.cli.Command;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The experiment on shares: {@code bench shares}. */
public final class SharesBench implements Command {
    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) {
        Options options = new Options();
        try {
            new CmdLineParser(options).parseArgument(args);
        } catch (CmdLineException e) {
            err.println("bench shares: " + e.getMessage());
            return USAGE;
        }
        for (Scenario scenario : scenarios()) {
            if (!options.mScenario.isEmpty() && !options.mScenario.equals(scenario.name())) {
                continue;
            }
            for (Map.Entry<String, EntryModel.Factory> way : ways().entrySet()) {
                Outcome sum = sweep(scenario, options, way.getValue());
                out.printf(
                        "%s %s overruns=%d excess=%.1f (%s) wrongful=%.5f least=%.4f msg=%.1f%n",
                        scenario.name(),
                        way.getKey(),
                        sum.mOverruns,
                        sum.mWorstExcess,
                        sum.mWorstRun,
                        sum.wrongfulShare(),
                        sum.leastUtilisation(),
                        sum.messageRate());
                sum.mCustomers.forEach(
                        (name, it) ->
                                out.printf(
                                        "    %s requests=%d served=%.4f wrongful=%d p95=%.1f"
                                                + " util=%.4f%n",
                                        name,
                                        it.mRequests,
                                        it.servedShare(),
                                        it.mWrongful,
                                        it.waitMillis(95),
                                        it.utilisation()));
            }
        }
        return OK;
    }

    static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        all.add(scenario("skewed", 30, Scenario.loads(0.8), Arrival.SKEWED, List.of()));
        all.add(scenario("moving", 30, Scenario.loads(0.8), Arrival.MOVING, List.of()));
        all.add(scenario("overload", 30, Scenario.loads(3), Arrival.SKEWED, List.of()));
        for (Fault fault : Fault.values()) {
            String name = fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
            all.add(scenario(name, 60, Scenario.loads(1.5), Arrival.SKEWED, List.of(fault)));
        }
        List<Fault> any = List.of(Fault.values());
        all.add(scenario("any-fault", 60, Scenario.loads(1.5), Arrival.MOVING, any));
        return all;
    }

    private static Scenario scenario(
            String name,
            int seconds,
            List<Scenario.Load> loads,
            Arrival arrival,
            List<Fault> faults) {
        return new Scenario(name, seconds, loads, arrival, faults);
    }

    private static Outcome sweep(Scenario scenario, Options options, EntryModel.Factory factory) {
        Outcome sum = new Outcome();
        LongStream.rangeClosed(1, options.mSeeds)
                .parallel()
                .mapToObj(seed -> Experiment.run(scenario, seed, options.mEntries, factory))
                .toList()
                .forEach(sum::add);
        return sum;
    }

    private static Map<String, EntryModel.Factory> ways() {
        Map<String, EntryModel.Factory> ways = new LinkedHashMap<>();
        ways.put("shares", (self, entries) -> new ShareEntry(self));
        return ways;
    }

    private static final class Options {
        @Option(name = "--seeds", usage = "number of seeds")
        private int mSeeds = 100;

        @Option(name = "--scenario", usage = "run this scenario alone")
        private String mScenario = "";

        @Option(name = "--entries", usage = "number of entry processes")
        private int mEntries = 4;
    }
}
