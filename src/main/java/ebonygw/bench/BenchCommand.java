package ebonygw.bench;

import ebonygw.bench.capacity.CapacityBench;
import ebonygw.bench.links.LinksBench;
import ebonygw.bench.path.PathBench;
import ebonygw.bench.placement.PlacementBench;
import ebonygw.bench.shares.SharesBench;
import ebonygw.cli.Command;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs the benchmark that the first argument of {@code bench NAME} names. */
public final class BenchCommand implements Command {
    private static final Map<String, Command> BENCHMARKS = benchmarks();

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Command benchmark = args.isEmpty() ? null : BENCHMARKS.get(args.get(0));
        if (benchmark == null) {
            err.println("usage: ebonygw bench NAME [ARGUMENTS]; names: " + BENCHMARKS.keySet());
            return USAGE;
        }
        return benchmark.run(args.subList(1, args.size()), out, err);
    }

    private static Map<String, Command> benchmarks() {
        Map<String, Command> benchmarks = new TreeMap<>();
        benchmarks.put("capacity", new CapacityBench());
        benchmarks.put("links", new LinksBench());
        benchmarks.put("path", new PathBench());
        benchmarks.put("placement", new PlacementBench());
        benchmarks.put("shares", new SharesBench());
        return benchmarks;
    }
}
