package ebonygw.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import ebonygw.TargetEvent;
import ebonygw.request.AdapterVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads load reports of engines. */
final class EngineReports {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineReports() {}

    /** Returns the adapter version of an engine's name for it. */
    static AdapterVersion adapter(String name) throws IOException {
        int at = name.lastIndexOf('@');
        if (at <= 0 || at == name.length() - 1) {
            throw new IOException("not an adapter version: " + name);
        }
        return new AdapterVersion(name.substring(0, at), name.substring(at + 1));
    }

    /**
     * Reads a report.
     *
     * @throws IOException if it is not one
     */
    static TargetEvent.EngineReported read(ByteString json) throws IOException {
        JsonNode root = MAPPER.readTree(json.newInput());
        if (root == null || !root.isObject()) {
            throw new IOException("not a load report");
        }
        List<AdapterVersion> resident = new ArrayList<>();
        for (JsonNode name : root.path("resident")) {
            resident.add(adapter(name.asText()));
        }
        return new TargetEvent.EngineReported(
                number(root, "running").intValue(),
                number(root, "waiting").intValue(),
                number(root, "slots").intValue(),
                number(root, "max_batch").intValue(),
                resident,
                number(root, "started_at").longValue());
    }

    private static Number number(JsonNode root, String name) throws IOException {
        JsonNode value = root.path(name);
        if (!value.isIntegralNumber()) {
            throw new IOException("load report without " + name);
        }
        return value.numberValue();
    }
}
