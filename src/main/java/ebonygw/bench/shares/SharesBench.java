package ebonygw.bench.shares;

import com.fasterxml.jackson.databind.ObjectMapper;
import ebonygw.bench.shares.Scenario.Arrival;
import ebonygw.bench.shares.Scenario.Fault;
import ebonygw.cli.Command;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command {@code bench shares}: runs the production share classes and two simpler baselines on
 * the same seeds, in virtual time over a faulty network.
 *
 * <p>Ends with status 1 if the shares miss a bound. The same seeds give the same results.
 */
public final class SharesBench implements Command {
    static final String SHARES = "shares";

    private static final double MAX_WRONGFUL_RATIO_MOVING = 0.001;
    private static final double MIN_UTILISATION = 0.95;
    private static final double MAX_WAIT_GROWTH = 0.10;
    private static final double MAX_SERVED_RATIO_DROP = 0.01;

    /** A shorter wait without the greedy customer is compared as if it were this long. */
    private static final double MIN_COMPARED_WAIT_MILLIS = 1;

    private static final int SECONDS = 30;
    private static final int FAULT_SECONDS = 60;

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        try {
            new CmdLineParser(options).parseArgument(args);
        } catch (CmdLineException e) {
            err.println("bench shares: " + e.getMessage());
            return USAGE;
        }
        Map<String, Outcome> results = new LinkedHashMap<>();
        for (Scenario scenario : scenarios()) {
            if (options.mScenarios.isEmpty() || options.mScenarios.contains(scenario.name())) {
                algorithms(scenario)
                        .forEach(
                                (algorithm, factory) ->
                                        results.put(
                                                scenario.name() + "/" + algorithm,
                                                runSeeds(scenario, options, factory)));
            }
        }
        List<String> failures = failures(results);
        if (options.mJson) {
            out.println(new ObjectMapper().writeValueAsString(json(results, failures)));
        } else {
            results.forEach((name, outcome) -> print(name, outcome, out));
            failures.forEach(failure -> out.println("bound missed: " + failure));
        }
        return failures.isEmpty() ? OK : FAILED;
    }

    /** Returns the bounds that the results miss; scenarios that were not run are left out. */
    static List<String> failures(Map<String, Outcome> results) {
        List<String> failures = new ArrayList<>();
        results.forEach(
                (name, outcome) -> {
                    if (name.endsWith("/" + SHARES) && outcome.mOverruns > 0) {
                        failures.add(name + ": overruns " + outcome.mOverruns);
                    }
                });
        checkBound(
                results, "skewed", it -> it.wrongfulRefusals() == 0, "wrongful refusals", failures);
        checkBound(
                results,
                "moving",
                it -> it.wrongfulRatio() <= MAX_WRONGFUL_RATIO_MOVING,
                "wrongful refusals",
                failures);
        checkBound(
                results,
                "overload",
                it -> it.minUtilisation() >= MIN_UTILISATION,
                "utilisation",
                failures);
        Outcome withoutGreedy = results.get("skewed/" + SHARES);
        Outcome greedy = results.get("greedy/" + SHARES);
        if (withoutGreedy != null && greedy != null) {
            compareWaitsAndServed(withoutGreedy, greedy, failures);
        }
        return failures;
    }

    static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        List<Scenario.Load> within = Scenario.loads(0.8);
        all.add(new Scenario("skewed", SECONDS, within, Arrival.SKEWED, List.of()));
        all.add(new Scenario("moving", SECONDS, within, Arrival.MOVING, List.of()));
        List<Scenario.Load> greedy = Scenario.loadsWithGreedyCustomer(0.8, 10);
        all.add(new Scenario("greedy", SECONDS, greedy, Arrival.SKEWED, List.of()));
        List<Scenario.Load> over = Scenario.loads(3);
        all.add(new Scenario("overload", SECONDS, over, Arrival.SKEWED, List.of()));
        List<Scenario.Load> busy = Scenario.loads(1.5);
        List<Fault> any = new ArrayList<>(List.of(Fault.values()));
        any.remove(Fault.SETTINGS);
        all.add(new Scenario("any-fault", FAULT_SECONDS, busy, Arrival.MOVING, any));
        for (Fault fault : Fault.values()) {
            String name = fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
            List<Fault> faults = List.of(fault);
            all.add(new Scenario(name, FAULT_SECONDS, busy, Arrival.SKEWED, faults));
        }
        return all;
    }

    private static Map<String, EntryModel.Factory> algorithms(Scenario scenario) {
        Map<String, EntryModel.Factory> algorithms = new LinkedHashMap<>();
        algorithms.put(SHARES, (self, entries) -> new ShareEntry(self));
        if (scenario.faults().isEmpty()) {
            algorithms.put("static", (self, entries) -> new BaselineEntry(self, entries, false));
            algorithms.put("prepaid", (self, entries) -> new BaselineEntry(self, entries, true));
        }
        return algorithms;
    }

    private static void checkBound(
            Map<String, Outcome> results,
            String scenario,
            Predicate<Outcome> bound,
            String label,
            List<String> failures) {
        Outcome outcome = results.get(scenario + "/" + SHARES);
        if (outcome != null && !bound.test(outcome)) {
            failures.add(scenario + ": " + label);
        }
    }

    private static void compareWaitsAndServed(
            Outcome withoutGreedy, Outcome greedy, List<String> failures) {
        for (String customer : List.of("medium", "small")) {
            Outcome.Customer before = withoutGreedy.mCustomers.get(customer);
            Outcome.Customer after = greedy.mCustomers.get(customer);
            double wait = Math.max(MIN_COMPARED_WAIT_MILLIS, before.waitMillis(95));
            if (after.waitMillis(95) > wait * (1 + MAX_WAIT_GROWTH)) {
                failures.add("greedy: 95th percentile wait of " + customer);
            }
            if (after.servedRatio() < before.servedRatio() - MAX_SERVED_RATIO_DROP) {
                failures.add("greedy: served share of " + customer);
            }
        }
    }

    private static Map<String, Object> json(Map<String, Outcome> results, List<String> failures) {
        Map<String, Object> runs = new LinkedHashMap<>();
        results.forEach((name, outcome) -> runs.put(name, outcome.toMap()));
        return Map.of("runs", runs, "failures", failures);
    }

    private static void print(String name, Outcome outcome, PrintStream out) {
        out.printf(
                "%s overruns=%d worst=%.0f %s wrongful=%d share=%.6f used=%.4f messages=%.2f%n",
                name,
                outcome.mOverruns,
                outcome.mWorstExcess,
                outcome.mWorstRun,
                outcome.wrongfulRefusals(),
                outcome.wrongfulRatio(),
                outcome.minUtilisation(),
                outcome.messagesPerSecondAndHost() / Math.max(1, outcome.mCustomers.size()));
        outcome.mCustomers.forEach(
                (customer, it) ->
                        out.printf(
                                "    %s requests=%d served=%.4f wrongful=%d p95wait=%.1fms"
                                        + " used=%.4f%n",
                                customer,
                                it.mRequests,
                                it.servedRatio(),
                                it.mWrongfulRefusals,
                                it.waitMillis(95),
                                it.utilisation()));
    }

    private static Outcome runSeeds(
            Scenario scenario, Options options, EntryModel.Factory factory) {
        Outcome sum = new Outcome();
        LongStream.range(options.mFirstSeed, options.mFirstSeed + options.mSeeds)
                .parallel()
                .mapToObj(seed -> Experiment.run(scenario, seed, options.mEntries, factory))
                .toList()
                .forEach(sum::add);
        return sum;
    }

    private static final class Options {
        @Option(name = "--seeds", usage = "number of seeds to run each scenario with")
        private int mSeeds = 100;

        @Option(name = "--first-seed", usage = "first seed")
        private long mFirstSeed = 1;

        @Option(name = "--scenario", usage = "run only this scenario; may be repeated")
        private List<String> mScenarios = new ArrayList<>();

        @Option(name = "--entries", usage = "number of entry processes")
        private int mEntries = 4;

        @Option(name = "--json", usage = "print the report as JSON")
        private boolean mJson;
    }
}
