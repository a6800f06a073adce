package ebonygw.keyvalue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply.Entry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * The published JSON form of the etcd v3 API, both of calls and of replies.
 *
 * <p>Keys and values are base64, 64-bit numbers are strings, and fields at their default may be
 * absent.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private EtcdJson() {}

    /** Returns the path of a call's method. */
    public static String path(KeyValueCall call) {
        if (call instanceof KeyValueCall.Range) {
            return "/v3/kv/range";
        }
        if (call instanceof KeyValueCall.Transaction) {
            return "/v3/kv/txn";
        }
        if (call instanceof KeyValueCall.LeaseGrant) {
            return "/v3/lease/grant";
        }
        if (call instanceof KeyValueCall.LeaseKeepAlive) {
            return "/v3/lease/keepalive";
        }
        if (call instanceof KeyValueCall.LeaseRevoke) {
            return "/v3/lease/revoke";
        }
        if (call instanceof KeyValueCall.Watch) {
            return "/v3/watch";
        }
        throw new IllegalArgumentException("no method for " + call);
    }

    /**
     * Reads the body of a call.
     *
     * @param path path of its method
     * @param body the JSON
     * @return the call, null if no such method exists
     * @throws IOException if the body is not what the method takes
     */
    public static KeyValueCall readCall(String path, byte[] body) throws IOException {
        JsonNode json = object(body);
        try {
            return switch (path) {
                case "/v3/kv/range" ->
                        new KeyValueCall.Range(
                                text(json, "key"),
                                text(json, "range_end"),
                                (int) number(json, "limit"));
                case "/v3/kv/txn" ->
                        new KeyValueCall.Transaction(
                                readCompares(json.path("compare")),
                                readWrites(json.path("success")));
                case "/v3/lease/grant" -> new KeyValueCall.LeaseGrant(number(json, "TTL"));
                case "/v3/lease/keepalive" -> new KeyValueCall.LeaseKeepAlive(number(json, "ID"));
                case "/v3/lease/revoke", "/v3/kv/lease/revoke" ->
                        new KeyValueCall.LeaseRevoke(number(json, "ID"));
                case "/v3/watch" -> readWatch(json.path("create_request"));
                default -> null;
            };
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
    }

    /**
     * Reads the reply to a plain call.
     *
     * @param call the call
     * @param body the JSON
     * @throws IOException if the body is not a reply to the call
     */
    public static KeyValueReply readReply(KeyValueCall call, byte[] body) throws IOException {
        JsonNode json = object(body);
        try {
            long revision = number(json.path("header"), "revision");
            if (call instanceof KeyValueCall.Range) {
                List<Entry> entries = new ArrayList<>();
                json.path("kvs").forEach(kv -> entries.add(readEntry(kv, false)));
                return new KeyValueReply.Found(
                        revision, entries, json.path("more").asBoolean(false));
            }
            if (call instanceof KeyValueCall.Transaction) {
                return new KeyValueReply.Committed(
                        revision, json.path("succeeded").asBoolean(false));
            }
            if (call instanceof KeyValueCall.LeaseGrant) {
                return new KeyValueReply.Lease(number(json, "ID"), number(json, "TTL"));
            }
            if (call instanceof KeyValueCall.LeaseKeepAlive keepAlive) {
                return new KeyValueReply.Lease(
                        keepAlive.leaseId(), number(json.path("result"), "TTL"));
            }
            if (call instanceof KeyValueCall.LeaseRevoke revoke) {
                return new KeyValueReply.Lease(revoke.leaseId(), 0);
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("no single reply to " + call);
    }

    /**
     * Reads one message of a watch.
     *
     * @param line the JSON
     * @return the reply, null if the message carries no change
     * @throws IOException if the line is no message of a watch
     */
    public static KeyValueReply readWatchReply(byte[] line) throws IOException {
        JsonNode json = object(line);
        JsonNode result = json.path("result");
        try {
            long compactRevision = number(result, "compact_revision");
            if (compactRevision > 0) {
                return new KeyValueReply.Compacted(compactRevision);
            }
            if (result.path("canceled").asBoolean(false) || json.has("error")) {
                return new KeyValueReply.Failed(false, "watch ended by the service");
            }
            List<Entry> entries = new ArrayList<>();
            for (JsonNode event : result.path("events")) {
                boolean deleted = event.path("type").asText().equals("DELETE");
                entries.add(readEntry(event.path("kv"), deleted));
            }
            if (entries.isEmpty()) {
                return null;
            }
            return new KeyValueReply.Changed(number(result.path("header"), "revision"), entries);
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
    }

    /** Writes the body of a call. */
    public static byte[] writeCall(KeyValueCall call) {
        ObjectNode json = NODES.objectNode();
        if (call instanceof KeyValueCall.Range range) {
            json.put("key", base64(range.key()));
            if (!range.end().isEmpty()) {
                json.put("range_end", base64(range.end()));
            }
            json.put("limit", Integer.toString(range.limit()));
        } else if (call instanceof KeyValueCall.Transaction transaction) {
            writeTransaction(transaction, json);
        } else if (call instanceof KeyValueCall.LeaseGrant grant) {
            json.put("TTL", Long.toString(grant.timeToLiveSeconds()));
        } else if (call instanceof KeyValueCall.LeaseKeepAlive keepAlive) {
            json.put("ID", Long.toString(keepAlive.leaseId()));
        } else if (call instanceof KeyValueCall.LeaseRevoke revoke) {
            json.put("ID", Long.toString(revoke.leaseId()));
        } else if (call instanceof KeyValueCall.Watch watch) {
            ObjectNode create = json.putObject("create_request");
            create.put("key", base64(watch.key()));
            if (!watch.end().isEmpty()) {
                create.put("range_end", base64(watch.end()));
            }
            create.put("start_revision", Long.toString(watch.fromRevision()));
        } else {
            throw new IllegalArgumentException("no body for " + call);
        }
        return bytes(json);
    }

    /** Writes the reply to a plain call, or a failure. */
    public static byte[] writeReply(KeyValueCall call, KeyValueReply reply) {
        ObjectNode json = NODES.objectNode();
        if (reply instanceof KeyValueReply.Found found) {
            json.putObject("header").put("revision", Long.toString(found.revision()));
            ArrayNode entries = json.putArray("kvs");
            found.entries().forEach(entry -> writeEntry(entry, entries.addObject()));
            json.put("more", found.more());
        } else if (reply instanceof KeyValueReply.Committed committed) {
            json.putObject("header").put("revision", Long.toString(committed.revision()));
            json.put("succeeded", committed.succeeded());
        } else if (reply instanceof KeyValueReply.Lease lease) {
            boolean streamed = call instanceof KeyValueCall.LeaseKeepAlive;
            ObjectNode body = streamed ? json.putObject("result") : json;
            body.put("ID", Long.toString(lease.leaseId()));
            body.put("TTL", Long.toString(lease.timeToLiveSeconds()));
        } else if (reply instanceof KeyValueReply.Failed failed) {
            json.put("error", failed.detail());
            json.put("message", failed.detail());
        } else {
            throw new IllegalArgumentException("no single reply: " + reply);
        }
        return bytes(json);
    }

    /** Writes one message of a watch, with a line feed behind it. */
    public static byte[] writeWatchReply(KeyValueReply reply) {
        ObjectNode json = NODES.objectNode();
        ObjectNode result = json.putObject("result");
        if (reply instanceof KeyValueReply.Changed changed) {
            result.putObject("header").put("revision", Long.toString(changed.revision()));
            ArrayNode events = result.putArray("events");
            for (Entry entry : changed.entries()) {
                ObjectNode event = events.addObject();
                event.put("type", entry.value() == null ? "DELETE" : "PUT");
                writeEntry(entry, event.putObject("kv"));
            }
        } else if (reply instanceof KeyValueReply.Compacted compacted) {
            result.put("canceled", true);
            result.put("compact_revision", Long.toString(compacted.compactRevision()));
        } else {
            throw new IllegalArgumentException("no message of a watch: " + reply);
        }
        return (json + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] bytes(ObjectNode json) {
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be written", e);
        }
    }

    private static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        return value.isMissingNode() || value.isNull() ? 0 : Long.parseLong(value.asText());
    }

    private static JsonNode object(byte[] body) throws IOException {
        JsonNode json = MAPPER.readTree(body);
        if (json == null || !json.isObject()) {
            throw new IOException("not a JSON object");
        }
        return json;
    }

    private static List<Compare> readCompares(JsonNode json) throws IOException {
        List<Compare> compares = new ArrayList<>();
        for (JsonNode compare : json) {
            boolean known =
                    compare.path("target").asText().equals("MOD")
                            && compare.path("result").asText("EQUAL").equals("EQUAL");
            if (!known) {
                throw new IOException("only equality of mod_revision is compared");
            }
            compares.add(new Compare(text(compare, "key"), number(compare, "mod_revision")));
        }
        return compares;
    }

    private static Entry readEntry(JsonNode json, boolean deleted) {
        byte[] value = Base64.getDecoder().decode(json.path("value").asText(""));
        return new Entry(
                text(json, "key"),
                deleted ? null : ByteString.copyFrom(value),
                number(json, "mod_revision"),
                number(json, "lease"));
    }

    private static KeyValueCall readWatch(JsonNode json) {
        return new KeyValueCall.Watch(
                text(json, "key"), text(json, "range_end"), number(json, "start_revision"));
    }

    private static List<Write> readWrites(JsonNode json) throws IOException {
        List<Write> writes = new ArrayList<>();
        for (JsonNode operation : json) {
            JsonNode put = operation.path("request_put");
            JsonNode delete = operation.path("request_delete_range");
            if (put.isObject()) {
                byte[] value = Base64.getDecoder().decode(put.path("value").asText(""));
                writes.add(
                        new Write(
                                text(put, "key"),
                                ByteString.copyFrom(value),
                                number(put, "lease")));
            } else if (delete.isObject()) {
                writes.add(new Write(text(delete, "key"), null, 0));
            } else {
                throw new IOException("unknown operation in transaction");
            }
        }
        return writes;
    }

    private static String text(JsonNode json, String field) {
        byte[] bytes = Base64.getDecoder().decode(json.path(field).asText(""));
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void writeEntry(Entry entry, ObjectNode json) {
        json.put("key", base64(entry.key()));
        json.put("mod_revision", Long.toString(entry.modRevision()));
        if (entry.value() != null) {
            json.put("value", Base64.getEncoder().encodeToString(entry.value().toByteArray()));
            json.put("lease", Long.toString(entry.leaseId()));
        }
    }

    private static void writeTransaction(KeyValueCall.Transaction transaction, ObjectNode json) {
        ArrayNode compares = json.putArray("compare");
        for (Compare compare : transaction.compares()) {
            compares.addObject()
                    .put("result", "EQUAL")
                    .put("target", "MOD")
                    .put("key", base64(compare.key()))
                    .put("mod_revision", Long.toString(compare.modRevision()));
        }
        ArrayNode success = json.putArray("success");
        for (Write write : transaction.writes()) {
            ObjectNode operation = success.addObject();
            if (write.value() == null) {
                operation.putObject("request_delete_range").put("key", base64(write.key()));
                continue;
            }
            operation
                    .putObject("request_put")
                    .put("key", base64(write.key()))
                    .put("value", Base64.getEncoder().encodeToString(write.value().toByteArray()))
                    .put("lease", Long.toString(write.leaseId()));
        }
    }
}
