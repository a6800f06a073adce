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
 * Runs an entry or a target process until it is asked to stop.
 *
 * @param <S> type of its settings
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
     * @param parser makes a parser of the settings
     * @param starter starts the process
     * @param stopTimeoutNanos reads the longest time of a graceful stop
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
     * @param <S> type of its settings
     */
    @FunctionalInterface
    interface Starter<S> {
        /** Returns the process, started. */
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
        } catch (SettingsException faulty) {
            err.println(mName + ": " + faulty.getMessage());
            return USAGE;
        }
        for (String variable : parser.unknownVariables(System.getenv().keySet())) {
            LogLine.of("unknown_variable").with("name", variable).warn();
        }
        RunningProcess process;
        try {
            process = mStarter.start(settings);
        } catch (IllegalStateException cannotListen) {
            err.println(mName + ": " + cannotListen.getMessage());
            return USAGE;
        }
        return ProcessRunner.run(process, mStopTimeoutNanos.applyAsLong(settings));
    }
}
