package ebonygw.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.settings.CallerKeys;
import ebonygw.settings.NodeKey;
import ebonygw.settings.NodeKind;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Instant;
import java.time.format.DateTimeParseException;

/** The command {@code keys}: issues, lists and withdraws callers' keys. */
public final class KeysCommand extends AdminCommand {
    /** Creates the command. */
    public KeysCommand() {
        super(
                """
                usage: ebonygw keys [OPTIONS] COMMAND
                  issue CUSTOMER           issue a key; its secret is shown only once
                  list [CUSTOMER]          list keys, without their secrets
                  withdraw KEY-ID          invalidate a key everywhere; cannot be undone
                  credential NAME          generate an operator's token, on this host only\
                """);
    }

    @Override
    Request request(AdminArguments arguments) {
        String command = arguments.positional(0, "command");
        return switch (command) {
            case "issue" -> issue(arguments);
            case "list" ->
                    get(
                            "/v1/keys"
                                    + (arguments.positionalCount() > 1
                                            ? "?customer=" + customer(arguments)
                                            : ""));
            case "withdraw" -> {
                String keyId = arguments.positional(1, "KEY-ID");
                if (!keyId.matches("[A-Za-z0-9]+")) {
                    throw new IllegalArgumentException(
                            "invalid key id, expected letters and digits: " + keyId);
                }
                yield post("/v1/keys/" + keyId + "/withdraw", changeBody(arguments));
            }
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    @Override
    boolean runLocally(AdminArguments arguments, PrintStream out) {
        if (!arguments.positional(0, "command").equals("credential")) {
            return false;
        }
        String name = arguments.positional(1, "NAME");
        String token = CallerKeys.secret(new SecureRandom());
        out.println("token for " + name + ", shown this once: " + token);
        out.println("line for the credentials file: " + name + " " + CallerKeys.hash(token));
        return true;
    }

    private static String customer(AdminArguments arguments) {
        return new NodeKey(NodeKind.CUSTOMER, arguments.positional(1, "CUSTOMER")).name();
    }

    private static Request issue(AdminArguments arguments) {
        ObjectNode body = changeBody(arguments);
        body.put("customer", customer(arguments));
        if (!arguments.ends().isEmpty()) {
            try {
                body.put("endsAtEpochMillis", Instant.parse(arguments.ends()).toEpochMilli());
            } catch (DateTimeParseException e) {
                throw new IllegalArgumentException(
                        "invalid --ends, expected a time such as 2027-01-31T00:00:00Z: "
                                + arguments.ends(),
                        e);
            }
        }
        return post("/v1/keys", body);
    }
}
