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

/** Dispatches {@code bench NAME} to an experiment. */
public final class BenchCommand implements Command {
    private static final Map<String, Command> EXPERIMENTS = experiments();

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Command experiment = args.isEmpty() ? null : EXPERIMENTS.get(args.get(0));
        if (experiment == null) {
            err.println("usage: ebonygw bench NAME [ARGUMENTS]; names: " + EXPERIMENTS.keySet());
            return USAGE;
        }
        return experiment.run(args.subList(1, args.size()), out, err);
    }

    private static Map<String, Command> experiments() {
        Map<String, Command> experiments = new TreeMap<>();
        experiments.put("capacity", new CapacityBench());
        experiments.put("links", new LinksBench());
        experiments.put("path", new PathBench());
        experiments.put("placement", new PlacementBench());
        experiments.put("shares", new SharesBench());
        return experiments;
    }
}
