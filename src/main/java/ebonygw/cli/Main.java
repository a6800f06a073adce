package ebonygw.cli;

import ebonygw.bench.BenchCommand;
import ebonygw.log.Logs;
import ebonygw.operator.ExplainCommand;
import ebonygw.operator.KeysCommand;
import ebonygw.operator.SettingsCommand;
import ebonygw.process.EntryProcess;
import ebonygw.process.FlagParser;
import ebonygw.process.TargetProcess;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Entry point of the {@code ebonygw} binary. */
public final class Main {
    private static final Map<String, Command> COMMANDS = commands();

    private Main() {}

    /** Runs the subcommand named by the first argument and exits with its status. */
    public static void main(String[] args) throws Exception {
        System.exit(run(List.of(args), System.out, System.err));
    }

    /**
     * Runs the subcommand named by the first argument.
     *
     * @param args command line arguments, the name of the subcommand first
     * @param out receives results
     * @param err receives error messages
     * @return the exit status
     * @throws Exception if an unexpected error ends the subcommand
     */
    public static int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Logs.routeLibraryLogs();
        if (args.isEmpty() || args.get(0).equals("--help") || args.get(0).equals("help")) {
            err.println("usage: ebonygw COMMAND [ARGUMENTS]; commands: " + COMMANDS.keySet());
            return args.isEmpty() ? Command.USAGE : Command.OK;
        }
        Command command = COMMANDS.get(args.get(0));
        if (command == null) {
            err.println("unknown command " + args.get(0) + "; commands: " + COMMANDS.keySet());
            return Command.USAGE;
        }
        return command.run(args.subList(1, args.size()), out, err);
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new TreeMap<>();
        commands.put("bench", new BenchCommand());
        commands.put("check", new CheckCommand());
        commands.put("dev", new DevCommand());
        commands.put("dump", new DumpCommand());
        commands.put("explain", new ExplainCommand());
        commands.put(
                "entry",
                new ProcessCommand<>(
                        "entry",
                        FlagParser::ofEntry,
                        settings -> EntryProcess.start(settings, Map.of()),
                        settings -> settings.common().stopTimeoutNanos()));
        commands.put("keys", new KeysCommand());
        commands.put("settings", new SettingsCommand());
        commands.put(
                "target",
                new ProcessCommand<>(
                        "target",
                        FlagParser::ofTarget,
                        settings -> TargetProcess.start(settings, Map.of()),
                        settings -> settings.common().stopTimeoutNanos()));
        return commands;
    }
}
