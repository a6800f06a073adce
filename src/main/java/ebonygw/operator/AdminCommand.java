package ebonygw.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.cli.Command;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Objects;
import org.kohsuke.args4j.CmdLineException;

/**
 * Base class of the commands that use the administration API: parses the arguments, sends one
 * request and prints the response as JSON.
 */
abstract class AdminCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter WRITER = MAPPER.writerWithDefaultPrettyPrinter();

    private final String mUsage;

    AdminCommand(String usage) {
        mUsage = Objects.requireNonNull(usage, "usage");
    }

    @Override
    public final int run(List<String> args, PrintStream out, PrintStream err) {
        try {
            AdminArguments arguments = AdminArguments.parse(args, System.getenv());
            if (arguments.help() || arguments.positionalCount() == 0) {
                err.println(mUsage);
                arguments.printOptions(err);
                return arguments.help() ? OK : USAGE;
            }
            if (runLocally(arguments, out)) {
                return OK;
            }
            Request request = request(arguments);
            try (AdminClient client = arguments.connect()) {
                AdminResponse response =
                        client.send(request.method(), request.path(), request.body());
                out.println(WRITER.writeValueAsString(response.body()));
                return response.status() == StatusCodes.OK ? OK : FAILED;
            }
        } catch (CmdLineException | IllegalArgumentException e) {
            err.println(e.getMessage());
            err.println(mUsage);
            return USAGE;
        } catch (IOException e) {
            err.println(e.getMessage());
            return FAILED;
        }
    }

    /**
     * Builds the request for the arguments.
     *
     * @throws IllegalArgumentException if an argument is missing or invalid
     * @throws IOException if a file named by an argument cannot be read
     */
    abstract Request request(AdminArguments arguments) throws IOException;

    /**
     * Runs a subcommand that sends no request to a process.
     *
     * @return whether the arguments named such a subcommand
     */
    boolean runLocally(AdminArguments arguments, PrintStream out) {
        return false;
    }

    /** Returns a new request body of a change, filled from the common options. */
    static ObjectNode changeBody(AdminArguments arguments) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("comment", arguments.comment());
        json.put("dryRun", arguments.dryRun());
        json.put("id", arguments.id());
        if (arguments.base() != null) {
            json.put("base", arguments.base());
        }
        return json;
    }

    static Request get(String path) {
        return new Request("GET", path, null);
    }

    static Request post(String path, ObjectNode body) {
        return new Request("POST", path, body);
    }

    record Request(String method, String path, ObjectNode body) {}
}
