package ebonygw.cli;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the binary. */
@FunctionalInterface
public interface Command {
    /** Exit status of success. */
    int OK = 0;

    /** Exit status of a command that ran and found a fault. */
    int FAILED = 1;

    /** Exit status of wrong arguments or settings. */
    int USAGE = 2;

    /**
     * Runs the command to its end.
     *
     * @param args arguments after the command's name
     * @param out where results go
     * @param err where faults go, one clear line each
     * @return the exit status of the process
     * @throws Exception if the command cannot go on
     */
    int run(List<String> args, PrintStream out, PrintStream err) throws Exception;
}
