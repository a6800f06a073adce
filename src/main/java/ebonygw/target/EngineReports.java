package ebonygw.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import ebonygw.TargetEvent;
import ebonygw.request.AdapterVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Parses load reports of engines. */
final class EngineReports {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineReports() {}

    /** Parses an engine's adapter name, which has the form {@code adapter@version}. */
    static AdapterVersion parseAdapter(String name) throws IOException {
        int at = name.lastIndexOf('@');
        if (at <= 0 || at == name.length() - 1) {
            throw new IOException("adapter name is not of the form adapter@version: " + name);
        }
        return new AdapterVersion(name.substring(0, at), name.substring(at + 1));
    }

    /**
     * Parses a report.
     *
     * @throws IOException if {@code json} is not a valid report
     */
    static TargetEvent.EngineReported read(ByteString json) throws IOException {
        JsonNode root = MAPPER.readTree(json.newInput());
        if (root == null || !root.isObject()) {
            throw new IOException("load report is not a JSON object");
        }
        List<AdapterVersion> resident = new ArrayList<>();
        for (JsonNode name : root.path("resident")) {
            resident.add(parseAdapter(name.asText()));
        }
        return new TargetEvent.EngineReported(
                integer(root, "running").intValue(),
                integer(root, "waiting").intValue(),
                integer(root, "slots").intValue(),
                integer(root, "max_batch").intValue(),
                resident,
                integer(root, "started_at").longValue());
    }

    private static Number integer(JsonNode root, String name) throws IOException {
        JsonNode value = root.path(name);
        if (!value.isIntegralNumber()) {
            throw new IOException("load report lacks the integer field " + name);
        }
        return value.numberValue();
    }
}
