package ebonygw.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.settings.CallerKeys;
import ebonygw.settings.NodeKey;
import ebonygw.settings.NodeKind;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Instant;
import java.time.format.DateTimeParseException;

/** The operators' command {@code keys}. */
public final class KeysCommand extends AdminCommand {
    /** Creates the command. */
    public KeysCommand() {
        super(
                """
                usage: ebonygw keys [OPTIONS] COMMAND
                  issue CUSTOMER           a new key, shown this once
                  list [CUSTOMER]          keys without their secrets
                  withdraw KEY-ID          stop a key for good, everywhere
                  credential NAME          a new token for an operator, made on this host\
                """);
    }

    @Override
    Request request(AdminArguments arguments) {
        String command = arguments.word(0, "command");
        return switch (command) {
            case "issue" -> issue(arguments);
            case "list" ->
                    get(
                            "/v1/keys"
                                    + (arguments.words() > 1
                                            ? "?customer=" + customer(arguments)
                                            : ""));
            case "withdraw" -> {
                String keyId = arguments.word(1, "KEY-ID");
                if (!keyId.matches("[A-Za-z0-9]+")) {
                    throw new IllegalArgumentException("not the identifier of a key: " + keyId);
                }
                yield post("/v1/keys/" + keyId + "/withdraw", change(arguments));
            }
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    @Override
    boolean runLocally(AdminArguments arguments, PrintStream out) {
        if (!arguments.word(0, "command").equals("credential")) {
            return false;
        }
        String name = arguments.word(1, "NAME");
        String token = CallerKeys.secret(new SecureRandom());
        out.println("token for " + name + ", shown this once: " + token);
        out.println("line for the credentials file: " + name + " " + CallerKeys.hash(token));
        return true;
    }

    private static String customer(AdminArguments arguments) {
        return new NodeKey(NodeKind.CUSTOMER, arguments.word(1, "CUSTOMER")).name();
    }

    private static Request issue(AdminArguments arguments) {
        ObjectNode body = change(arguments);
        body.put("customer", customer(arguments));
        if (!arguments.ends().isEmpty()) {
            try {
                body.put("endsAtEpochMillis", Instant.parse(arguments.ends()).toEpochMilli());
            } catch (DateTimeParseException e) {
                throw new IllegalArgumentException("--ends is no time: " + arguments.ends(), e);
            }
        }
        return post("/v1/keys", body);
    }
}
