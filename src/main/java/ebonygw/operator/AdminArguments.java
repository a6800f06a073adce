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

/** Arguments that all commands of operators share. */
final class AdminArguments {
    private static final String ADMIN_VARIABLE = "EBONYGW_ADMIN";
    private static final String TOKEN_VARIABLE = "EBONYGW_ADMIN_TOKEN_FILE";

    @Option(
            name = "--admin",
            metaVar = "URL",
            usage = "administration API of an entry process (or environment EBONYGW_ADMIN)")
    private String mAdmin;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage = "file with the operator's token (or environment EBONYGW_ADMIN_TOKEN_FILE)")
    private String mTokenFile;

    @Option(name = "--dry-run", usage = "show who would be affected and how, change nothing")
    private boolean mDryRun;

    @Option(name = "--comment", metaVar = "TEXT", usage = "why, for the history")
    private String mComment = "";

    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage =
                    "revision that the change was made for, -1 for the newest (default: the present"
                            + " one of the entry process)")
    private Long mBase;

    @Option(
            name = "--stage",
            metaVar = "PLACES",
            usage =
                    "put the change in force there first: regions or REGION/DATACENTRE, with"
                            + " commas")
    private String mStage = "";

    @Option(name = "--id", metaVar = "ID", usage = "identifier of the change, to submit it again")
    private String mId = "";

    @Option(name = "--ends", metaVar = "TIME", usage = "end of a key, such as 2027-01-31T00:00:00Z")
    private String mEnds = "";

    @Option(name = "--help", help = true, usage = "show this")
    private boolean mHelp;

    @Argument(metaVar = "ARGUMENTS")
    private List<String> mWords = new ArrayList<>();

    private final CmdLineParser mParser =
            new CmdLineParser(this, ParserProperties.defaults().withShowDefaults(false));

    private AdminArguments() {}

    /**
     * Reads a command line.
     *
     * @throws CmdLineException if an option is unknown or wrong
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
     * Connects to the administration API.
     *
     * @throws IllegalArgumentException if an option is missing or wrong
     * @throws IOException if the token cannot be read
     */
    AdminClient connect() throws IOException {
        if (mAdmin == null || mTokenFile == null) {
            throw new IllegalArgumentException("--admin and --token-file are needed");
        }
        return new AdminClient(URI.create(mAdmin), Files.readString(Path.of(mTokenFile)).strip());
    }

    /** Returns the base revision, null if none is given. */
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

    /** Returns the places to stage a change in, empty for all at once. */
    Set<String> stage() {
        return mStage.isEmpty() ? Set.of() : Set.of(mStage.split(","));
    }

    /**
     * Returns a word of the command.
     *
     * @throws IllegalArgumentException if there are fewer
     */
    String word(int index, String name) {
        if (index >= mWords.size()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return mWords.get(index);
    }

    int words() {
        return mWords.size();
    }

    void printOptions(PrintStream out) {
        mParser.printUsage(out);
    }
}
