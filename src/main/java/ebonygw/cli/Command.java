package ebonygw.cli;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the {@code ebonygw} binary. */
@FunctionalInterface
public interface Command {
    /** Exit status: success. */
    int OK = 0;

    /** Exit status: the command ran and failed, or found a problem. */
    int FAILED = 1;

    /** Exit status: invalid arguments or settings. */
    int USAGE = 2;

    /**
     * Runs the command and returns when it has ended.
     *
     * @param args command line arguments after the name of the command
     * @param out receives results
     * @param err receives error messages, one line each
     * @return the exit status of the process
     * @throws Exception if an unexpected error ends the command
     */
    int run(List<String> args, PrintStream out, PrintStream err) throws Exception;
}
