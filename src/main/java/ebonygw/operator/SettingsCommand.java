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

/** The operators' command {@code settings}. */
public final class SettingsCommand extends AdminCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates the command. */
    public SettingsCommand() {
        super(
                """
                usage: ebonygw settings [OPTIONS] COMMAND
                  get [NODE]               a node, or all, with its effective values
                  set NODE FIELD VALUE     set one field
                  unset NODE FIELD         let a node inherit a field again
                  apply FILE               apply a file of edits as one change
                  explain NODE [FIELD]     where effective values come from
                  diff [FROM [TO]]         what differs between two revisions
                  history [COUNT]          the newest changes
                  revert REVISION          take a change back, as a new change
                  staged                   the staged change that is pending
                  promote                  put the staged change in force everywhere
                  hold                     put the staged change out of force for now
                  resume                   put a held staged change in force again
                  abandon                  drop the staged change
                  status ID                whether a change is in the log
                NODE is KIND/NAME, such as customer/parish\
                """);
    }

    @Override
    Request request(AdminArguments arguments) throws IOException {
        String command = arguments.word(0, "command");
        return switch (command) {
            case "get" ->
                    get("/v1/settings" + (arguments.words() > 1 ? "?node=" + node(arguments) : ""));
            case "explain" ->
                    get(
                            "/v1/explain?node="
                                    + node(arguments)
                                    + (arguments.words() > 2
                                            ? "&field=" + field(arguments).word()
                                            : ""));
            case "history" -> get("/v1/history" + number(arguments, 1, "?limit="));
            case "diff" ->
                    get("/v1/diff" + number(arguments, 1, "?from=") + number(arguments, 2, "&to="));
            case "status" -> get("/v1/changes/" + arguments.word(1, "ID"));
            case "set" ->
                    edit(
                            arguments,
                            new Edit.Assign(
                                    node(arguments),
                                    field(arguments),
                                    value(field(arguments), arguments.word(3, "VALUE"))));
            case "unset" -> edit(arguments, new Edit.Clear(node(arguments), field(arguments)));
            case "apply" -> apply(arguments);
            case "staged" -> get("/v1/staged");
            case "promote" -> staged(arguments, new Edit.Promote());
            case "hold" -> staged(arguments, new Edit.Hold());
            case "resume" -> staged(arguments, new Edit.Resume());
            case "abandon" -> staged(arguments, new Edit.Abandon());
            case "revert" ->
                    post(
                            "/v1/revert",
                            change(arguments)
                                    .put(
                                            "revision",
                                            Long.parseLong(arguments.word(1, "REVISION"))));
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    private static Request apply(AdminArguments arguments) throws IOException {
        JsonNode file = MAPPER.readTree(Files.readAllBytes(Path.of(arguments.word(1, "FILE"))));
        ObjectNode body = change(arguments);
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
        return changes(arguments, body, SettingsJson.readEdits(body.path("edits")));
    }

    private static Request changes(AdminArguments arguments, ObjectNode body, List<Edit> edits) {
        List<Edit> sent =
                arguments.stage().isEmpty()
                        ? edits
                        : List.of(new Edit.Stage(arguments.stage(), edits));
        body.set("edits", SettingsJson.writeEdits(sent));
        return post("/v1/changes", body);
    }

    private static Request edit(AdminArguments arguments, Edit edit) {
        return changes(arguments, change(arguments), List.of(edit));
    }

    private static Field field(AdminArguments arguments) {
        String word = arguments.word(2, "FIELD");
        return Field.ofWord(word)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown field "
                                                + word
                                                + "; fields: "
                                                + Stream.of(Field.values())
                                                        .map(Field::word)
                                                        .collect(Collectors.joining(" "))));
    }

    private static NodeKey node(AdminArguments arguments) {
        return NodeKey.parse(arguments.word(1, "NODE"));
    }

    private static String number(AdminArguments arguments, int index, String parameter) {
        if (index >= arguments.words()) {
            return "";
        }
        return parameter + Long.parseLong(arguments.word(index, "number"));
    }

    private static Request staged(AdminArguments arguments, Edit edit) {
        ObjectNode body = change(arguments);
        body.set("edits", SettingsJson.writeEdits(List.of(edit)));
        return post("/v1/changes", body);
    }

    private static FieldValue value(Field field, String text) {
        FieldValue sample = field.defaultValue();
        if (sample instanceof FieldValue.Whole) {
            return new FieldValue.Whole(Long.parseLong(text));
        }
        if (sample instanceof FieldValue.Decimal) {
            return new FieldValue.Decimal(Double.parseDouble(text));
        }
        if (sample instanceof FieldValue.Names) {
            return new FieldValue.Names(
                    text.isEmpty() ? Set.of() : Set.copyOf(List.of(text.split(","))));
        }
        if (sample instanceof FieldValue.Flag) {
            if (!text.equals("true") && !text.equals("false")) {
                throw new IllegalArgumentException(field.word() + " is true or false");
            }
            return new FieldValue.Flag(text.equals("true"));
        }
        return new FieldValue.Text(text);
    }
}
