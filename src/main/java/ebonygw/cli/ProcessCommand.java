package ebonygw.cli;

import ebonygw.log.LogLine;
import ebonygw.process.FlagParser;
import ebonygw.process.ProcessRunner;
import ebonygw.process.RunningProcess;
import ebonygw.process.SettingsException;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Runs an entry or a target process until it is requested to stop.
 *
 * @param <S> type of the process's settings
 */
final class ProcessCommand<S> implements Command {
    private final String mName;
    private final Supplier<FlagParser<S>> mParser;
    private final Starter<S> mStarter;
    private final ToLongFunction<S> mStopTimeoutNanos;

    /**
     * Creates a command.
     *
     * @param name name of the command
     * @param parser creates a parser of the process's flags
     * @param starter starts the process
     * @param stopTimeoutNanos maximum duration of a graceful stop, read from the settings
     */
    ProcessCommand(
            String name,
            Supplier<FlagParser<S>> parser,
            Starter<S> starter,
            ToLongFunction<S> stopTimeoutNanos) {
        mName = name;
        mParser = parser;
        mStarter = starter;
        mStopTimeoutNanos = stopTimeoutNanos;
    }

    /**
     * Starts a process.
     *
     * @param <S> type of the process's settings
     */
    @FunctionalInterface
    interface Starter<S> {
        /** Returns the started process. */
        RunningProcess start(S settings) throws Exception;
    }

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        FlagParser<S> parser = mParser.get();
        if (args.contains("--help")) {
            out.println("usage: ebonygw " + mName + " FLAGS");
            out.println(parser.usage());
            return OK;
        }
        S settings;
        try {
            settings = parser.parse(args, System.getenv());
        } catch (SettingsException e) {
            err.println(mName + ": " + e.getMessage());
            return USAGE;
        }
        for (String variable : parser.unknownVariables(System.getenv().keySet())) {
            LogLine.of("unknown_variable").with("name", variable).warn();
        }
        RunningProcess process;
        try {
            process = mStarter.start(settings);
        } catch (IllegalStateException e) {
            err.println(mName + ": " + e.getMessage());
            return USAGE;
        }
        return ProcessRunner.run(process, mStopTimeoutNanos.applyAsLong(settings));
    }
}
