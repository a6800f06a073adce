package ebonygw.keyvalue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Reads and writes requests and responses in the published JSON mapping of the etcd v3 API.
 *
 * <p>In this mapping, keys and values are base64, 64-bit numbers are strings, and fields with their
 * default value may be absent.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private EtcdJson() {}

    /** Returns the URL path of the API method that serves a request. */
    public static String path(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Range) {
            return "/v3/kv/range";
        }
        if (request instanceof KeyValueRequest.Transaction) {
            return "/v3/kv/txn";
        }
        if (request instanceof KeyValueRequest.LeaseGrant) {
            return "/v3/lease/grant";
        }
        if (request instanceof KeyValueRequest.LeaseKeepAlive) {
            return "/v3/lease/keepalive";
        }
        if (request instanceof KeyValueRequest.LeaseRevoke) {
            return "/v3/lease/revoke";
        }
        if (request instanceof KeyValueRequest.Watch) {
            return "/v3/watch";
        }
        throw new IllegalArgumentException("no API method for request " + request);
    }

    /**
     * Reads the body of a request.
     *
     * @param path URL path of the API method
     * @param body a JSON object
     * @return the request, null if the path names no supported method
     * @throws IOException if the body is not a valid request of the method
     */
    public static KeyValueRequest readRequest(String path, byte[] body) throws IOException {
        JsonNode json = parseObject(body);
        try {
            return switch (path) {
                case "/v3/kv/range" ->
                        new KeyValueRequest.Range(
                                textFromBase64(json, "key"),
                                textFromBase64(json, "range_end"),
                                (int) longValue(json, "limit"));
                case "/v3/kv/txn" ->
                        new KeyValueRequest.Transaction(
                                readCompares(json.path("compare")),
                                readWrites(json.path("success")));
                case "/v3/lease/grant" -> new KeyValueRequest.LeaseGrant(longValue(json, "TTL"));
                case "/v3/lease/keepalive" ->
                        new KeyValueRequest.LeaseKeepAlive(longValue(json, "ID"));
                case "/v3/lease/revoke", "/v3/kv/lease/revoke" ->
                        new KeyValueRequest.LeaseRevoke(longValue(json, "ID"));
                case "/v3/watch" -> readWatch(json.path("create_request"));
                default -> null;
            };
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
    }

    /**
     * Reads the response to a request that has exactly one.
     *
     * @param request any request but {@link KeyValueRequest.Watch} and {@link
     *     KeyValueRequest.WatchCancel}
     * @param body a JSON object
     * @throws IOException if the body is not a response to such a request
     * @throws IllegalArgumentException if the request starts or cancels a watch
     */
    public static KeyValueResponse readResponse(KeyValueRequest request, byte[] body)
            throws IOException {
        JsonNode json = parseObject(body);
        try {
            long revision = longValue(json.path("header"), "revision");
            if (request instanceof KeyValueRequest.Range) {
                List<Entry> entries = new ArrayList<>();
                json.path("kvs").forEach(kv -> entries.add(readEntry(kv, false)));
                return new KeyValueResponse.RangeResult(
                        revision, entries, json.path("more").asBoolean(false));
            }
            if (request instanceof KeyValueRequest.Transaction) {
                return new KeyValueResponse.TransactionResult(
                        revision, json.path("succeeded").asBoolean(false));
            }
            if (request instanceof KeyValueRequest.LeaseGrant) {
                return new KeyValueResponse.Lease(longValue(json, "ID"), longValue(json, "TTL"));
            }
            if (request instanceof KeyValueRequest.LeaseKeepAlive keepAlive) {
                return new KeyValueResponse.Lease(
                        keepAlive.leaseId(), longValue(json.path("result"), "TTL"));
            }
            if (request instanceof KeyValueRequest.LeaseRevoke revoke) {
                return new KeyValueResponse.Lease(revoke.leaseId(), 0);
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("not a request with a single response: " + request);
    }

    /**
     * Reads one message of a watch stream.
     *
     * @param line a JSON object
     * @return the response, null if the message carries no change, as a progress report does
     * @throws IOException if the line is not a message of a watch stream
     */
    public static KeyValueResponse readWatchResponse(byte[] line) throws IOException {
        JsonNode json = parseObject(line);
        JsonNode result = json.path("result");
        try {
            long compactRevision = longValue(result, "compact_revision");
            if (compactRevision > 0) {
                return new KeyValueResponse.Compacted(compactRevision);
            }
            if (result.path("canceled").asBoolean(false) || json.has("error")) {
                return new KeyValueResponse.Failed(false, "watch ended by the service");
            }
            List<Entry> entries = new ArrayList<>();
            for (JsonNode event : result.path("events")) {
                boolean deleted = event.path("type").asText().equals("DELETE");
                entries.add(readEntry(event.path("kv"), deleted));
            }
            if (entries.isEmpty()) {
                return null;
            }
            return new KeyValueResponse.Changed(
                    longValue(result.path("header"), "revision"), entries);
        } catch (IllegalArgumentException e) {
            throw new IOException("bad field: " + e.getMessage(), e);
        }
    }

    /** Returns the JSON body of a request. */
    public static byte[] writeRequest(KeyValueRequest request) {
        ObjectNode json = NODES.objectNode();
        if (request instanceof KeyValueRequest.Range range) {
            json.put("key", base64(range.key()));
            if (!range.end().isEmpty()) {
                json.put("range_end", base64(range.end()));
            }
            json.put("limit", Integer.toString(range.limit()));
        } else if (request instanceof KeyValueRequest.Transaction transaction) {
            writeTransaction(transaction, json);
        } else if (request instanceof KeyValueRequest.LeaseGrant grant) {
            json.put("TTL", Long.toString(grant.timeToLiveSeconds()));
        } else if (request instanceof KeyValueRequest.LeaseKeepAlive keepAlive) {
            json.put("ID", Long.toString(keepAlive.leaseId()));
        } else if (request instanceof KeyValueRequest.LeaseRevoke revoke) {
            json.put("ID", Long.toString(revoke.leaseId()));
        } else if (request instanceof KeyValueRequest.Watch watch) {
            ObjectNode create = json.putObject("create_request");
            create.put("key", base64(watch.key()));
            if (!watch.end().isEmpty()) {
                create.put("range_end", base64(watch.end()));
            }
            create.put("start_revision", Long.toString(watch.fromRevision()));
        } else {
            throw new IllegalArgumentException("no JSON body for request " + request);
        }
        return bytes(json);
    }

    /**
     * Returns the JSON body of the response to a request that has exactly one.
     *
     * @param request the request; for a keep-alive the response is wrapped in {@code result},
     *     because etcd sends it on a stream
     * @param response the response, which may be a failure
     * @throws IllegalArgumentException if the response is one of a watch
     */
    public static byte[] writeResponse(KeyValueRequest request, KeyValueResponse response) {
        ObjectNode json = NODES.objectNode();
        if (response instanceof KeyValueResponse.RangeResult found) {
            json.putObject("header").put("revision", Long.toString(found.revision()));
            ArrayNode entries = json.putArray("kvs");
            found.entries().forEach(entry -> writeEntry(entry, entries.addObject()));
            json.put("more", found.more());
        } else if (response instanceof KeyValueResponse.TransactionResult committed) {
            json.putObject("header").put("revision", Long.toString(committed.revision()));
            json.put("succeeded", committed.succeeded());
        } else if (response instanceof KeyValueResponse.Lease lease) {
            boolean streamed = request instanceof KeyValueRequest.LeaseKeepAlive;
            ObjectNode body = streamed ? json.putObject("result") : json;
            body.put("ID", Long.toString(lease.leaseId()));
            body.put("TTL", Long.toString(lease.timeToLiveSeconds()));
        } else if (response instanceof KeyValueResponse.Failed failed) {
            json.put("error", failed.detail());
            json.put("message", failed.detail());
        } else {
            throw new IllegalArgumentException(
                    "a watch response is not a single response: " + response);
        }
        return bytes(json);
    }

    /**
     * Returns one message of a watch stream, ended by a line feed.
     *
     * @param response a {@link KeyValueResponse.Changed} or {@link KeyValueResponse.Compacted}
     * @throws IllegalArgumentException if the response is of another type
     */
    public static byte[] writeWatchResponse(KeyValueResponse response) {
        ObjectNode json = NODES.objectNode();
        ObjectNode result = json.putObject("result");
        if (response instanceof KeyValueResponse.Changed changed) {
            result.putObject("header").put("revision", Long.toString(changed.revision()));
            ArrayNode events = result.putArray("events");
            for (Entry entry : changed.entries()) {
                ObjectNode event = events.addObject();
                event.put("type", entry.value() == null ? "DELETE" : "PUT");
                writeEntry(entry, event.putObject("kv"));
            }
        } else if (response instanceof KeyValueResponse.Compacted compacted) {
            result.put("canceled", true);
            result.put("compact_revision", Long.toString(compacted.compactRevision()));
        } else {
            throw new IllegalArgumentException("not a message of a watch stream: " + response);
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
            throw new IllegalStateException("cannot serialise a JSON tree", e);
        }
    }

    private static long longValue(JsonNode json, String field) {
        JsonNode value = json.path(field);
        return value.isMissingNode() || value.isNull() ? 0 : Long.parseLong(value.asText());
    }

    private static JsonNode parseObject(byte[] body) throws IOException {
        JsonNode json = MAPPER.readTree(body);
        if (json == null || !json.isObject()) {
            throw new IOException("not a JSON object");
        }
        return json;
    }

    private static List<Compare> readCompares(JsonNode json) throws IOException {
        List<Compare> compares = new ArrayList<>();
        for (JsonNode compare : json) {
            boolean supported =
                    compare.path("target").asText().equals("MOD")
                            && compare.path("result").asText("EQUAL").equals("EQUAL");
            if (!supported) {
                throw new IOException(
                        "unsupported comparison (only equality of mod_revision is supported): "
                                + compare);
            }
            compares.add(
                    new Compare(
                            textFromBase64(compare, "key"), longValue(compare, "mod_revision")));
        }
        return compares;
    }

    private static Entry readEntry(JsonNode json, boolean deleted) {
        byte[] value = Base64.getDecoder().decode(json.path("value").asText(""));
        return new Entry(
                textFromBase64(json, "key"),
                deleted ? null : ByteString.copyFrom(value),
                longValue(json, "mod_revision"),
                longValue(json, "lease"));
    }

    private static KeyValueRequest readWatch(JsonNode json) {
        return new KeyValueRequest.Watch(
                textFromBase64(json, "key"),
                textFromBase64(json, "range_end"),
                longValue(json, "start_revision"));
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
                                textFromBase64(put, "key"),
                                ByteString.copyFrom(value),
                                longValue(put, "lease")));
            } else if (delete.isObject()) {
                writes.add(new Write(textFromBase64(delete, "key"), null, 0));
            } else {
                throw new IOException(
                        "unsupported operation in transaction: neither request_put nor"
                                + " request_delete_range");
            }
        }
        return writes;
    }

    private static String textFromBase64(JsonNode json, String field) {
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

    private static void writeTransaction(KeyValueRequest.Transaction transaction, ObjectNode json) {
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
