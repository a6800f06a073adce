package ebonygw.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;

/**
 * Descriptor of the newest snapshot in the key-value service.
 *
 * @param revision its revision
 * @param snapshotId identifier that the keys of its parts contain
 * @param parts number of its parts
 * @param checksum its checksum
 */
record SnapshotHead(long revision, String snapshotId, int parts, long checksum) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Reads the stored form.
     *
     * @throws IOException if the bytes are not a snapshot head
     */
    static SnapshotHead read(ByteString stored) throws IOException {
        JsonNode json = MAPPER.readTree(stored.newInput());
        if (json == null || !json.isObject() || json.path("parts").asInt() < 1) {
            throw new IOException("not a snapshot head");
        }
        return new SnapshotHead(
                json.path("revision").asLong(),
                json.path("snapshot").asText(),
                json.path("parts").asInt(),
                Long.parseUnsignedLong(json.path("checksum").asText("0"), 16));
    }

    /** Returns the stored form. */
    ByteString write() {
        var json = MAPPER.createObjectNode();
        json.put("revision", revision);
        json.put("snapshot", snapshotId);
        json.put("parts", parts);
        json.put("checksum", Long.toHexString(checksum));
        return ByteString.copyFrom(SettingsJson.bytes(json));
    }
}
