package ebonygw.cli;

import ebonygw.dev.DevFleet;
import ebonygw.dev.DevPlatform;
import ebonygw.dev.DevSettings;
import ebonygw.process.ProcessRunner;
import ebonygw.process.SettingsException;
import ebonygw.settings.CallerKeys;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * The command {@code dev}: runs a complete fleet on the loopback address, with stand-ins for the
 * platform and the targets, to try the software out.
 */
final class DevCommand implements Command {
    private static final String CUSTOMER = "harbourside";
    private static final long STOP_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Flags flags = new Flags();
        CmdLineParser parser =
                new CmdLineParser(flags, ParserProperties.defaults().withShowDefaults(true));
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("dev: " + e.getMessage());
            return USAGE;
        }
        if (flags.mHelp) {
            parser.printUsage(out);
            return OK;
        }
        if (flags.mEngines < 1 || flags.mSeconds < 0) {
            err.println(
                    "dev: --engines must be at least 1 and --seconds at least 0, got "
                            + flags.mEngines
                            + " and "
                            + flags.mSeconds);
            return USAGE;
        }
        return run(flags, out, err);
    }

    private static void deleteFiles(Path directory) throws IOException {
        Files.deleteIfExists(directory.resolve("token"));
        Files.deleteIfExists(directory.resolve("operators"));
        Files.deleteIfExists(directory);
    }

    private static void printInstructions(
            DevFleet fleet, String key, Path directory, PrintStream out) {
        String callers = "http://127.0.0.1:" + fleet.entry().callerAddress().getPort();
        String operators = "127.0.0.1:" + fleet.entry().operatorAddress().getPort();
        out.println("callers:   " + callers);
        out.println("operators: http://" + operators + " (/metrics, /dump, /ready)");
        out.println("key:       " + key + " (customer " + CUSTOMER + ")");
        out.println("try:");
        out.println(
                "  curl -sS "
                        + callers
                        + "/v1/completions -H 'Authorization: Bearer "
                        + key
                        + "' -H 'Content-Type: application/json' -d '{\"model\":\""
                        + DevSettings.ADAPTER_PREFIX
                        + "1\",\"prompt\":\"Collections this week\",\"max_tokens\":16,"
                        + "\"stream\":true}'");
        out.println(
                "  curl -sS "
                        + callers
                        + "/routes/"
                        + DevSettings.SERVICE
                        + "/pickups -H 'Authorization: Bearer "
                        + key
                        + "' -H 'Idempotency-Key: pickup-1' -d 'kerb 7'");
        out.println("  java -jar target/ebonygw.jar dump --address " + operators);
        out.println(
                "  java -jar target/ebonygw.jar settings --admin "
                        + fleet.entry().adminEndpoint().orElseThrow()
                        + " --token-file "
                        + directory.resolve("token")
                        + " history");
        out.flush();
    }

    /** Runs the fleet with a temporary directory for the operator's token and credentials. */
    private static int run(Flags flags, PrintStream out, PrintStream err) throws Exception {
        Path directory = Files.createTempDirectory("ebonygw-dev");
        try {
            return run(flags, directory, out, err);
        } finally {
            deleteFiles(directory);
        }
    }

    private static int run(Flags flags, Path directory, PrintStream out, PrintStream err)
            throws Exception {
        SecureRandom random = new SecureRandom();
        String key = CallerKeys.secret(random);
        Path credentials = writeCredentials(directory, CallerKeys.secret(random));
        DevFleet fleet;
        try {
            DevPlatform platform = new DevPlatform(flags.mEngines, random.nextLong());
            fleet =
                    new DevFleet(
                            platform,
                            flags.mCallerAddress,
                            flags.mOperatorAddress,
                            Optional.of(credentials));
        } catch (SettingsException | IllegalStateException e) {
            err.println("dev: " + e.getMessage());
            return USAGE;
        }
        try {
            fleet.initialize(CUSTOMER, CallerKeys.hash(key));
        } catch (IllegalStateException e) {
            err.println("dev: " + e.getMessage());
            fleet.close();
            return FAILED;
        }
        printInstructions(fleet, key, directory, out);
        if (flags.mSeconds == 0) {
            return ProcessRunner.run(fleet, STOP_TIMEOUT_NANOS);
        }
        TimeUnit.SECONDS.sleep(flags.mSeconds);
        return ProcessRunner.stop(fleet, STOP_TIMEOUT_NANOS);
    }

    /** Writes a new operator's token and the credentials file of the entry; returns the latter. */
    private static Path writeCredentials(Path directory, String token) throws IOException {
        Path file = directory.resolve("operators");
        Files.writeString(directory.resolve("token"), token + "\n");
        return Files.writeString(file, "dev " + CallerKeys.hash(token) + "\n");
    }

    /** Command line options. */
    private static final class Flags {
        @Option(
                name = "--caller-address",
                metaVar = "IP:PORT",
                usage = "address to listen on for callers, port 0 for any free port")
        private String mCallerAddress = "127.0.0.1:8080";

        @Option(
                name = "--operator-address",
                metaVar = "IP:PORT",
                usage = "address to listen on for operators, port 0 for any free port")
        private String mOperatorAddress = "127.0.0.1:7401";

        @Option(name = "--engines", metaVar = "COUNT", usage = "number of model engines")
        private int mEngines = 3;

        @Option(
                name = "--seconds",
                metaVar = "SECONDS",
                usage = "stop after this time, 0 to run until interrupted")
        private int mSeconds;

        @Option(name = "--help", usage = "print this help")
        private boolean mHelp;
    }
}
