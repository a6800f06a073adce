package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.FieldValue;
import ebonygw.settings.NodeKey;
import ebonygw.settings.SettingsJson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The command {@code settings}: reads and changes the settings. */
public final class SettingsCommand extends AdminCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates the command. */
    public SettingsCommand() {
        super(
                """
                usage: ebonygw settings [OPTIONS] COMMAND
                  get [NODE]               show one node, or all, with effective values
                  set NODE FIELD VALUE     set a field
                  unset NODE FIELD         clear a field, so that its value is inherited
                  apply FILE               apply the edits in a file as one change
                  explain NODE [FIELD]     show the origin of effective values
                  diff [FROM [TO]]         show the differences between two revisions
                  history [COUNT]          show the newest changes
                  revert REVISION          revert a change by a new change
                  staged                   show the pending staged change
                  promote                  apply the staged change everywhere
                  hold                     suspend the staged change until it is resumed
                  resume                   apply the held staged change again
                  abandon                  discard the staged change
                  status ID                show whether a change is in the log
                NODE is KIND/NAME, such as customer/parish\
                """);
    }

    @Override
    Request request(AdminArguments arguments) throws IOException {
        String command = arguments.positional(0, "command");
        return switch (command) {
            case "get" ->
                    get(
                            "/v1/settings"
                                    + (arguments.positionalCount() > 1
                                            ? "?node=" + node(arguments)
                                            : ""));
            case "explain" ->
                    get(
                            "/v1/explain?node="
                                    + node(arguments)
                                    + (arguments.positionalCount() > 2
                                            ? "&field=" + field(arguments).jsonName()
                                            : ""));
            case "history" -> get("/v1/history" + optionalNumber(arguments, 1, "?limit="));
            case "diff" ->
                    get(
                            "/v1/diff"
                                    + optionalNumber(arguments, 1, "?from=")
                                    + optionalNumber(arguments, 2, "&to="));
            case "status" -> get("/v1/changes/" + arguments.positional(1, "ID"));
            case "set" ->
                    editRequest(
                            arguments,
                            new Edit.Assign(
                                    node(arguments),
                                    field(arguments),
                                    value(field(arguments), arguments.positional(3, "VALUE"))));
            case "unset" ->
                    editRequest(arguments, new Edit.Clear(node(arguments), field(arguments)));
            case "apply" -> apply(arguments);
            case "staged" -> get("/v1/staged");
            case "promote" -> stagedEditRequest(arguments, new Edit.Promote());
            case "hold" -> stagedEditRequest(arguments, new Edit.Hold());
            case "resume" -> stagedEditRequest(arguments, new Edit.Resume());
            case "abandon" -> stagedEditRequest(arguments, new Edit.Abandon());
            case "revert" ->
                    post(
                            "/v1/revert",
                            changeBody(arguments)
                                    .put(
                                            "revision",
                                            Long.parseLong(arguments.positional(1, "REVISION"))));
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    /**
     * Returns the request for a file of edits: a list, or an object with the list as {@code edits}
     * and values for options that are not given on the command line.
     */
    private static Request apply(AdminArguments arguments) throws IOException {
        JsonNode file =
                MAPPER.readTree(Files.readAllBytes(Path.of(arguments.positional(1, "FILE"))));
        ObjectNode body = changeBody(arguments);
        if (file != null && file.isObject()) {
            file.properties()
                    .forEach(
                            entry -> {
                                if (body.path(entry.getKey()).asText("").isEmpty()) {
                                    body.set(entry.getKey(), entry.getValue());
                                }
                            });
        } else {
            body.set("edits", file);
        }
        return changeRequest(arguments, body, SettingsJson.readEdits(body.path("edits")));
    }

    /** Returns the request that submits the edits, staged if the options say so. */
    private static Request changeRequest(
            AdminArguments arguments, ObjectNode body, List<Edit> edits) {
        List<Edit> submitted =
                arguments.stage().isEmpty()
                        ? edits
                        : List.of(new Edit.Stage(arguments.stage(), edits));
        body.set("edits", SettingsJson.writeEdits(submitted));
        return post("/v1/changes", body);
    }

    private static Request editRequest(AdminArguments arguments, Edit edit) {
        return changeRequest(arguments, changeBody(arguments), List.of(edit));
    }

    private static Field field(AdminArguments arguments) {
        String name = arguments.positional(2, "FIELD");
        return Field.ofJsonName(name)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown field "
                                                + name
                                                + "; fields: "
                                                + Stream.of(Field.values())
                                                        .map(Field::jsonName)
                                                        .collect(Collectors.joining(" "))));
    }

    private static NodeKey node(AdminArguments arguments) {
        return NodeKey.parse(arguments.positional(1, "NODE"));
    }

    /** Returns the query parameter for a positional number, empty if that is not given. */
    private static String optionalNumber(AdminArguments arguments, int index, String parameter) {
        if (index >= arguments.positionalCount()) {
            return "";
        }
        return parameter + Long.parseLong(arguments.positional(index, "number"));
    }

    /** Returns the request for an edit of the pending staged change. */
    private static Request stagedEditRequest(AdminArguments arguments, Edit edit) {
        ObjectNode body = changeBody(arguments);
        body.set("edits", SettingsJson.writeEdits(List.of(edit)));
        return post("/v1/changes", body);
    }

    /** Parses the text as a value of the same type as the field's default. */
    private static FieldValue value(Field field, String text) {
        FieldValue defaultValue = field.defaultValue();
        if (defaultValue instanceof FieldValue.Whole) {
            return new FieldValue.Whole(Long.parseLong(text));
        }
        if (defaultValue instanceof FieldValue.Decimal) {
            return new FieldValue.Decimal(Double.parseDouble(text));
        }
        if (defaultValue instanceof FieldValue.Names) {
            return new FieldValue.Names(
                    text.isEmpty() ? Set.of() : Set.copyOf(List.of(text.split(","))));
        }
        if (defaultValue instanceof FieldValue.Flag) {
            if (!text.equals("true") && !text.equals("false")) {
                throw new IllegalArgumentException(
                        field.jsonName() + " must be true or false, got: " + text);
            }
            return new FieldValue.Flag(text.equals("true"));
        }
        return new FieldValue.Text(text);
    }
}
