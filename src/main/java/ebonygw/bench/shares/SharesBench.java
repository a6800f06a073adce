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
 * The experiment on shares, {@code bench shares}: the real share classes in virtual time over a
 * faulty link, with baselines beside them on the same seeds.
 *
 * <p>Ends with status 1 if a bound falls short. The same seeds give the same figures.
 */
public final class SharesBench implements Command {
    static final String SHARES = "shares";

    private static final double MOST_WRONGFUL_MOVING = 0.001;
    private static final double LEAST_UTILISATION = 0.95;
    private static final double MOST_WAIT_GROWTH = 0.10;
    private static final double MOST_SERVED_CHANGE = 0.01;
    private static final double LEAST_WAIT_MILLIS = 1;
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
                ways(scenario)
                        .forEach(
                                (way, factory) ->
                                        results.put(
                                                scenario.name() + "/" + way,
                                                sweep(scenario, options, factory)));
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

    /** Returns which bounds fall short in the results of all scenarios. */
    static List<String> failures(Map<String, Outcome> results) {
        List<String> failures = new ArrayList<>();
        results.forEach(
                (name, outcome) -> {
                    if (name.endsWith("/" + SHARES) && outcome.mOverruns > 0) {
                        failures.add(name + ": overruns " + outcome.mOverruns);
                    }
                });
        check(results, "skewed", it -> it.wrongful() == 0, "wrongful refusals", failures);
        check(
                results,
                "moving",
                it -> it.wrongfulShare() <= MOST_WRONGFUL_MOVING,
                "wrongful refusals",
                failures);
        check(
                results,
                "overload",
                it -> it.leastUtilisation() >= LEAST_UTILISATION,
                "utilisation",
                failures);
        Outcome even = results.get("skewed/" + SHARES);
        Outcome greedy = results.get("greedy/" + SHARES);
        if (even != null && greedy != null) {
            compare(even, greedy, failures);
        }
        return failures;
    }

    static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        List<Scenario.Load> within = Scenario.loads(0.8);
        all.add(new Scenario("skewed", SECONDS, within, Arrival.SKEWED, List.of()));
        all.add(new Scenario("moving", SECONDS, within, Arrival.MOVING, List.of()));
        List<Scenario.Load> greedy = Scenario.withGreedy(0.8, 10);
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

    private static void check(
            Map<String, Outcome> results,
            String scenario,
            Predicate<Outcome> bound,
            String what,
            List<String> failures) {
        Outcome outcome = results.get(scenario + "/" + SHARES);
        if (outcome != null && !bound.test(outcome)) {
            failures.add(scenario + ": " + what);
        }
    }

    private static void compare(Outcome even, Outcome greedy, List<String> failures) {
        for (String customer : List.of("medium", "small")) {
            Outcome.Customer before = even.mCustomers.get(customer);
            Outcome.Customer after = greedy.mCustomers.get(customer);
            double wait = Math.max(LEAST_WAIT_MILLIS, before.waitMillis(95));
            if (after.waitMillis(95) > wait * (1 + MOST_WAIT_GROWTH)) {
                failures.add("greedy: 95th percentile wait of " + customer);
            }
            if (after.servedShare() < before.servedShare() - MOST_SERVED_CHANGE) {
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
                outcome.wrongful(),
                outcome.wrongfulShare(),
                outcome.leastUtilisation(),
                outcome.messageRate() / Math.max(1, outcome.mCustomers.size()));
        outcome.mCustomers.forEach(
                (customer, it) ->
                        out.printf(
                                "    %s requests=%d served=%.4f wrongful=%d p95wait=%.1fms"
                                        + " used=%.4f%n",
                                customer,
                                it.mRequests,
                                it.servedShare(),
                                it.mWrongful,
                                it.waitMillis(95),
                                it.utilisation()));
    }

    private static Outcome sweep(Scenario scenario, Options options, EntryModel.Factory factory) {
        Outcome sum = new Outcome();
        LongStream.range(options.mFirstSeed, options.mFirstSeed + options.mSeeds)
                .parallel()
                .mapToObj(seed -> Experiment.run(scenario, seed, options.mEntries, factory))
                .toList()
                .forEach(sum::add);
        return sum;
    }

    private static Map<String, EntryModel.Factory> ways(Scenario scenario) {
        Map<String, EntryModel.Factory> ways = new LinkedHashMap<>();
        ways.put(SHARES, (self, entries) -> new ShareEntry(self));
        if (scenario.faults().isEmpty()) {
            ways.put("static", (self, entries) -> new BaselineEntry(self, entries, false));
            ways.put("prepaid", (self, entries) -> new BaselineEntry(self, entries, true));
        }
        return ways;
    }

    private static final class Options {
        @Option(name = "--seeds", usage = "number of seeds")
        private int mSeeds = 100;

        @Option(name = "--first-seed", usage = "first seed")
        private long mFirstSeed = 1;

        @Option(name = "--scenario", usage = "run this scenario alone; may be repeated")
        private List<String> mScenarios = new ArrayList<>();

        @Option(name = "--entries", usage = "number of entry processes")
        private int mEntries = 4;

        @Option(name = "--json", usage = "print JSON")
        private boolean mJson;
    }
}
