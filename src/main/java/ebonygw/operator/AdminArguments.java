package ebonygw.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/** Command line arguments shared by all commands that use the administration API. */
final class AdminArguments {
    private static final String ADMIN_VARIABLE = "EBONYGW_ADMIN";
    private static final String TOKEN_VARIABLE = "EBONYGW_ADMIN_TOKEN_FILE";

    @Option(
            name = "--admin",
            metaVar = "URL",
            usage =
                    "URL of the administration API of an entry process (default: environment"
                            + " variable EBONYGW_ADMIN)")
    private String mAdmin;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage =
                    "file with the operator's token (default: environment variable"
                            + " EBONYGW_ADMIN_TOKEN_FILE)")
    private String mTokenFile;

    @Option(
            name = "--dry-run",
            usage =
                    "preview the affected customers and effective settings without changing"
                            + " anything")
    private boolean mDryRun;

    @Option(
            name = "--comment",
            metaVar = "TEXT",
            usage = "reason for the change, recorded in the history")
    private String mComment = "";

    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage =
                    "revision that the change is based on, -1 for the newest (default: the current"
                            + " revision of the entry process)")
    private Long mBase;

    @Option(
            name = "--stage",
            metaVar = "PLACES",
            usage =
                    "apply the change only in these regions or data centres until it is promoted:"
                            + " REGION or REGION/DATACENTRE, comma-separated")
    private String mStage = "";

    @Option(
            name = "--id",
            metaVar = "ID",
            usage = "id of the change, to submit the same change again")
    private String mId = "";

    @Option(
            name = "--ends",
            metaVar = "TIME",
            usage = "expiry of a key, such as 2027-01-31T00:00:00Z")
    private String mEnds = "";

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean mHelp;

    @Argument(metaVar = "ARGUMENTS")
    private List<String> mPositional = new ArrayList<>();

    private final CmdLineParser mParser =
            new CmdLineParser(this, ParserProperties.defaults().withShowDefaults(false));

    private AdminArguments() {}

    /**
     * Parses a command line; the URL and the token file default to the environment variables.
     *
     * @throws CmdLineException if an option is unknown or its value is invalid
     */
    static AdminArguments parse(List<String> args, Map<String, String> environment)
            throws CmdLineException {
        AdminArguments arguments = new AdminArguments();
        arguments.mParser.parseArgument(args);
        if (arguments.mAdmin == null) {
            arguments.mAdmin = environment.get(ADMIN_VARIABLE);
        }
        if (arguments.mTokenFile == null) {
            arguments.mTokenFile = environment.get(TOKEN_VARIABLE);
        }
        return arguments;
    }

    /**
     * Creates a client of the administration API.
     *
     * @throws IllegalArgumentException if the URL or token file is missing or the URL is invalid
     * @throws IOException if the token file cannot be read or the client cannot be created
     */
    AdminClient connect() throws IOException {
        if (mAdmin == null || mTokenFile == null) {
            throw new IllegalArgumentException(
                    "missing --admin or --token-file (or their environment variables)");
        }
        return new AdminClient(URI.create(mAdmin), Files.readString(Path.of(mTokenFile)).strip());
    }

    /** Returns the revision that the change is based on, null if none is given. */
    Long base() {
        return mBase;
    }

    String comment() {
        return mComment;
    }

    boolean dryRun() {
        return mDryRun;
    }

    String ends() {
        return mEnds;
    }

    boolean help() {
        return mHelp;
    }

    String id() {
        return mId;
    }

    /**
     * Returns a positional argument.
     *
     * @param index its index, from 0
     * @param name its name in error messages
     * @throws IllegalArgumentException if there are too few arguments
     */
    String positional(int index, String name) {
        if (index >= mPositional.size()) {
            throw new IllegalArgumentException("missing argument " + name);
        }
        return mPositional.get(index);
    }

    int positionalCount() {
        return mPositional.size();
    }

    /**
     * Returns the regions and data centres to stage the change in, empty to apply it everywhere.
     */
    Set<String> stage() {
        return mStage.isEmpty() ? Set.of() : Set.of(mStage.split(","));
    }

    void printOptions(PrintStream out) {
        mParser.printUsage(out);
    }
}
