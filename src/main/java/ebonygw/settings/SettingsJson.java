package ebonygw.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.settings.FieldValue.Decimal;
import ebonygw.settings.FieldValue.Flag;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Converts edits, changes, values and keys to and from their JSON form. */
public final class SettingsJson {
    /** Maximum size in bytes of the stored form of a change. */
    public static final int MAX_CHANGE_BYTES = 512 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private SettingsJson() {}

    /**
     * Reads a list of edits.
     *
     * @throws IOException if the JSON is not a list of edits
     */
    public static List<Edit> readEdits(JsonNode json) throws IOException {
        if (!json.isArray()) {
            throw new IOException("edits must be a JSON array");
        }
        List<Edit> edits = new ArrayList<>();
        for (JsonNode edit : json) {
            try {
                edits.add(readEdit(edit));
            } catch (IllegalArgumentException e) {
                throw new IOException("edit " + edits.size() + ": " + e.getMessage(), e);
            }
        }
        return edits;
    }

    /**
     * Reads an accepted change.
     *
     * @throws IOException if the bytes are not an accepted change in its stored form
     */
    public static LoggedChange readLogged(ByteString stored) throws IOException {
        JsonNode json = MAPPER.readTree(stored.newInput());
        if (json == null || !json.isObject()) {
            throw new IOException("a stored change must be a JSON object");
        }
        try {
            SettingsChange change =
                    new SettingsChange(
                            required(json, "id"),
                            json.path("author").asText(""),
                            json.path("comment").asText(""),
                            json.path("base").asLong(),
                            json.path("at").asLong(),
                            readEdits(json.path("edits")));
            return new LoggedChange(
                    new ChangeRecord(
                            json.path("revision").asLong(),
                            json.path("previous").asText(""),
                            change,
                            readEdits(json.path("undo")),
                            json.path("revertible").asBoolean(false)),
                    stored);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /**
     * Reads the value of a field.
     *
     * @throws IllegalArgumentException if the JSON is not of the field's type
     */
    public static FieldValue readValue(Field field, JsonNode json) {
        FieldValue sample = field.defaultValue();
        if (sample instanceof Whole && json.isIntegralNumber() && json.canConvertToLong()) {
            return new Whole(json.asLong());
        }
        if (sample instanceof Decimal && json.isNumber()) {
            return new Decimal(json.asDouble());
        }
        if (sample instanceof Flag && json.isBoolean()) {
            return new Flag(json.asBoolean());
        }
        if (sample instanceof Text && json.isTextual()) {
            return new Text(json.asText());
        }
        if (sample instanceof Names && json.isArray()) {
            Set<String> names = new HashSet<>();
            json.forEach(name -> names.add(name.asText()));
            return new Names(names);
        }
        throw new IllegalArgumentException(
                field.jsonName()
                        + " has a value of the wrong type (expected "
                        + field.unit()
                        + "): "
                        + json);
    }

    /** Returns the stored form of a change. */
    public static ByteString write(ChangeRecord record) {
        SettingsChange change = record.change();
        ObjectNode json = NODES.objectNode();
        json.put("revision", record.revision());
        json.put("id", change.id());
        json.put("previous", record.previousId());
        json.put("author", change.author());
        json.put("comment", change.comment());
        json.put("base", change.baseRevision());
        json.put("at", change.atEpochMillis());
        json.put("revertible", record.revertible());
        json.set("edits", writeEdits(change.edits()));
        json.set("undo", writeEdits(record.undo()));
        return ByteString.copyFrom(bytes(json));
    }

    /** Returns the JSON form of edits. */
    public static ArrayNode writeEdits(List<Edit> edits) {
        ArrayNode json = NODES.arrayNode();
        edits.forEach(edit -> json.add(writeEdit(edit)));
        return json;
    }

    /** Returns the JSON form of a value. */
    public static JsonNode writeValue(FieldValue value) {
        if (value instanceof Whole whole) {
            return NODES.numberNode(whole.value());
        }
        if (value instanceof Decimal decimal) {
            return NODES.numberNode(decimal.value());
        }
        if (value instanceof Flag flag) {
            return NODES.booleanNode(flag.value());
        }
        if (value instanceof Names names) {
            ArrayNode json = NODES.arrayNode();
            new TreeSet<>(names.value()).forEach(json::add);
            return json;
        }
        return NODES.textNode(value.toString());
    }

    /** Returns the UTF-8 encoding of JSON. */
    static byte[] bytes(JsonNode json) {
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }

    /** Reads the key of an edit or a snapshot. */
    static KeySettings readKey(JsonNode json) {
        return new KeySettings(
                required(json, "key"),
                required(json, "customer"),
                required(json, "sha256"),
                json.path("ends").asLong(Long.MAX_VALUE));
    }

    /** Writes the key of an edit or a snapshot. */
    static void writeKey(KeySettings key, ObjectNode json) {
        json.put("key", key.keyId());
        json.put("customer", key.customer());
        json.put("sha256", key.sha256Hex());
        if (key.endsAtEpochMillis() != Long.MAX_VALUE) {
            json.put("ends", key.endsAtEpochMillis());
        }
    }

    private static Field field(String word) {
        return Field.ofJsonName(word)
                .orElseThrow(() -> new IllegalArgumentException("unknown field " + word));
    }

    private static NodeKey node(JsonNode json) {
        return NodeKey.parse(required(json, "node"));
    }

    private static NodeKey parent(JsonNode json) {
        return json.has("parent") ? NodeKey.parse(json.path("parent").asText()) : null;
    }

    private static Edit readEdit(JsonNode json) {
        String operation = required(json, "op");
        return switch (operation) {
            case "create" -> new Edit.Create(node(json), parent(json), readFields(json));
            case "move" -> new Edit.Move(node(json), NodeKey.parse(required(json, "parent")));
            case "remove" -> new Edit.Remove(node(json));
            case "set" -> {
                Field field = field(required(json, "field"));
                yield new Edit.Assign(node(json), field, readValue(field, json.path("value")));
            }
            case "unset" -> new Edit.Clear(node(json), field(required(json, "field")));
            case "issueKey" -> new Edit.IssueKey(readKey(json));
            case "stage" -> {
                Set<String> where = new HashSet<>();
                json.path("where").forEach(name -> where.add(name.asText()));
                yield new Edit.Stage(where, readStaged(json.path("edits")));
            }
            case "promote" -> new Edit.Promote();
            case "hold" -> new Edit.Hold();
            case "resume" -> new Edit.Resume();
            case "abandon" -> new Edit.Abandon();
            case "withdrawKey" -> new Edit.WithdrawKey(required(json, "key"));
            default -> throw new IllegalArgumentException("unknown operation " + operation);
        };
    }

    private static Map<Field, FieldValue> readFields(JsonNode json) {
        Map<Field, FieldValue> fields = new EnumMap<>(Field.class);
        json.path("fields")
                .properties()
                .forEach(
                        entry -> {
                            Field field = field(entry.getKey());
                            fields.put(field, readValue(field, entry.getValue()));
                        });
        return fields;
    }

    private static List<Edit> readStaged(JsonNode json) {
        List<Edit> edits = new ArrayList<>();
        json.forEach(edit -> edits.add(readEdit(edit)));
        return edits;
    }

    private static String required(JsonNode json, String name) {
        JsonNode value = json.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("missing or empty string: " + name);
        }
        return value.asText();
    }

    private static ObjectNode writeEdit(Edit edit) {
        ObjectNode json = NODES.objectNode();
        if (edit instanceof Edit.Create create) {
            json.put("op", "create").put("node", create.node().toString());
            if (create.parent() != null) {
                json.put("parent", create.parent().toString());
            }
            ObjectNode fields = json.putObject("fields");
            new TreeMap<>(create.fields())
                    .forEach((field, value) -> fields.set(field.jsonName(), writeValue(value)));
        } else if (edit instanceof Edit.Move move) {
            json.put("op", "move").put("node", move.node().toString());
            json.put("parent", move.parent().toString());
        } else if (edit instanceof Edit.Remove remove) {
            json.put("op", "remove").put("node", remove.node().toString());
        } else if (edit instanceof Edit.Assign assign) {
            json.put("op", "set").put("node", assign.node().toString());
            json.put("field", assign.field().jsonName());
            json.set("value", writeValue(assign.value()));
        } else if (edit instanceof Edit.Clear clear) {
            json.put("op", "unset").put("node", clear.node().toString());
            json.put("field", clear.field().jsonName());
        } else if (edit instanceof Edit.IssueKey issue) {
            json.put("op", "issueKey");
            writeKey(issue.key(), json);
        } else if (edit instanceof Edit.WithdrawKey withdraw) {
            json.put("op", "withdrawKey").put("key", withdraw.keyId());
        } else if (edit instanceof Edit.Stage stage) {
            json.put("op", "stage");
            ArrayNode where = json.putArray("where");
            new TreeSet<>(stage.where()).forEach(where::add);
            json.set("edits", writeEdits(stage.edits()));
        } else if (edit instanceof Edit.Promote) {
            json.put("op", "promote");
        } else if (edit instanceof Edit.Hold) {
            json.put("op", "hold");
        } else if (edit instanceof Edit.Resume) {
            json.put("op", "resume");
        } else if (edit instanceof Edit.Abandon) {
            json.put("op", "abandon");
        }
        return json;
    }
}
