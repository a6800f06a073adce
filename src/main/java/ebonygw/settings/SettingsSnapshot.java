package ebonygw.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import net.openhft.hashing.LongHashFunction;

/**
 * The whole tree at one revision as compressed JSON with a checksum.
 *
 * @param revision the revision
 * @param checksum XXH64 of the bytes
 * @param bytes the compressed JSON
 */
public record SettingsSnapshot(long revision, long checksum, ByteString bytes) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonFactory FACTORY = MAPPER.getFactory();
    private static final int MAX_PLAIN_BYTES = 256 * 1024 * 1024;

    /** Returns the snapshot of a state; equal states give equal bytes. */
    public static SettingsSnapshot of(SettingsState state) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(new GZIPOutputStream(buffer))) {
            json.setCodec(MAPPER);
            json.writeStartObject();
            json.writeNumberField("revision", state.revision());
            json.writeStringField("lastId", state.lastId());
            writeNodes(state.tree(), json);
            writeKeys(state.tree(), json);
            writeStaged(state.tree(), json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write the snapshot to memory", e);
        }
        ByteString bytes = ByteString.copyFrom(buffer.toByteArray());
        return new SettingsSnapshot(state.revision(), checksum(bytes), bytes);
    }

    /** Returns the checksum of bytes. */
    public static long checksum(ByteString bytes) {
        return LongHashFunction.xx().hashBytes(bytes.toByteArray());
    }

    /** Returns the bytes split into consecutive parts of at most the given size; at least one. */
    public List<ByteString> parts(int partBytes) {
        List<ByteString> parts = new ArrayList<>();
        for (int from = 0; from < bytes.size(); from += partBytes) {
            parts.add(bytes.substring(from, Math.min(bytes.size(), from + partBytes)));
        }
        return parts;
    }

    /**
     * Restores the state, with an empty log.
     *
     * @throws IOException if the bytes are damaged
     */
    public SettingsState restore() throws IOException {
        if (checksum(bytes) != checksum) {
            throw new IOException("snapshot of revision " + revision + ": checksum does not match");
        }
        JsonNode json;
        try (InputStream in = new GZIPInputStream(bytes.newInput())) {
            byte[] plain = in.readNBytes(MAX_PLAIN_BYTES);
            json = MAPPER.readTree(plain);
        }
        if (json == null || json.path("revision").asLong(-1) != revision) {
            throw new IOException("snapshot does not contain the expected revision " + revision);
        }
        try {
            return SettingsState.of(revision, json.path("lastId").asText(), readTree(json));
        } catch (IllegalArgumentException e) {
            throw new IOException("snapshot of revision " + revision + ": " + e.getMessage(), e);
        }
    }

    private static Field field(String word) {
        return Field.ofJsonName(word)
                .orElseThrow(() -> new IllegalArgumentException("unknown field " + word));
    }

    /**
     * Reads a node. Equal keys, parents, settings and field maps of several nodes become one
     * object, to save memory.
     */
    private static TreeNode readNode(JsonNode json, Map<Object, Object> shared) {
        Map<Field, Setting> fields = new EnumMap<>(Field.class);
        json.path("f")
                .properties()
                .forEach(
                        entry -> {
                            Field field = field(entry.getKey());
                            JsonNode pair = entry.getValue();
                            fields.put(
                                    field,
                                    share(
                                            new Setting(
                                                    SettingsJson.readValue(field, pair.path(1)),
                                                    pair.path(0).asLong()),
                                            shared));
                        });
        NodeKey parent =
                json.has("p") ? share(NodeKey.parse(json.path("p").asText()), shared) : null;
        return new TreeNode(
                share(NodeKey.parse(json.path("n").asText()), shared),
                parent,
                share(Map.copyOf(fields), shared),
                json.path("r").asLong());
    }

    private static SettingsTree readTree(JsonNode json) throws IOException {
        SettingsTree tree = SettingsTree.EMPTY;
        Map<Object, Object> shared = new HashMap<>();
        for (JsonNode node : json.path("nodes")) {
            tree = tree.with(readNode(node, shared));
        }
        for (JsonNode key : json.path("keys")) {
            tree =
                    tree.with(
                            new IssuedKey(
                                    SettingsJson.readKey(key),
                                    key.path("issued").asLong(),
                                    key.path("withdrawn").asLong()));
        }
        JsonNode staged = json.path("staged");
        if (!staged.isObject()) {
            return tree;
        }
        Edit.Stage stage = (Edit.Stage) SettingsJson.readEdits(staged.path("stage")).get(0);
        return tree.withStaged(
                new StagedEdits(
                        stage.where(),
                        stage.edits(),
                        staged.path("held").asBoolean(),
                        staged.path("revision").asLong()));
    }

    @SuppressWarnings("unchecked")
    private static <T> T share(T value, Map<Object, Object> shared) {
        T first = (T) shared.putIfAbsent(value, value);
        return first == null ? value : first;
    }

    private static void writeKeys(SettingsTree tree, JsonGenerator json) throws IOException {
        json.writeArrayFieldStart("keys");
        List<IssuedKey> keys = new ArrayList<>(tree.issuedKeys());
        keys.sort(Comparator.comparing(key -> key.settings().keyId()));
        for (IssuedKey key : keys) {
            var object = MAPPER.createObjectNode();
            SettingsJson.writeKey(key.settings(), object);
            object.put("issued", key.issuedAtRevision());
            object.put("withdrawn", key.withdrawnAtRevision());
            json.writeTree(object);
        }
        json.writeEndArray();
    }

    private static void writeNodes(SettingsTree tree, JsonGenerator json) throws IOException {
        json.writeArrayFieldStart("nodes");
        List<TreeNode> nodes = new ArrayList<>(tree.nodes());
        nodes.sort(Comparator.comparing(TreeNode::key));
        for (TreeNode node : nodes) {
            json.writeStartObject();
            json.writeStringField("n", node.key().toString());
            if (node.parent() != null) {
                json.writeStringField("p", node.parent().toString());
            }
            json.writeNumberField("r", node.revision());
            json.writeObjectFieldStart("f");
            for (Map.Entry<Field, Setting> entry : new TreeMap<>(node.fields()).entrySet()) {
                json.writeArrayFieldStart(entry.getKey().jsonName());
                json.writeNumber(entry.getValue().revision());
                json.writeTree(SettingsJson.writeValue(entry.getValue().value()));
                json.writeEndArray();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeStaged(SettingsTree tree, JsonGenerator json) throws IOException {
        if (tree.staged().isEmpty()) {
            return;
        }
        StagedEdits staged = tree.staged().get();
        json.writeObjectFieldStart("staged");
        json.writeBooleanField("held", staged.held());
        json.writeNumberField("revision", staged.revision());
        json.writeFieldName("stage");
        json.writeTree(
                SettingsJson.writeEdits(List.of(new Edit.Stage(staged.where(), staged.edits()))));
        json.writeEndObject();
    }
}
