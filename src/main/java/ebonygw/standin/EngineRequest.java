package ebonygw.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A completion request as an engine reads it.
 *
 * @param id value of the header field x-request-id, empty if absent
 * @param adapter the adapter version that it names
 * @param priority smaller runs earlier
 * @param promptTokens tokens of the prompt
 * @param tokens tokens of the answer
 * @param streamed whether the answer is a stream of events
 * @param usage whether a stream ends with its usage
 * @param chat whether the prompt is a list of messages, and so the answer one of a chat
 * @param prompt the prompt as JSON text
 */
record EngineRequest(
        String id,
        String adapter,
        int priority,
        int promptTokens,
        int tokens,
        boolean streamed,
        boolean usage,
        boolean chat,
        String prompt) {
    private static final int BYTES_PER_TOKEN = 4;
    private static final String CHUNK = ".chunk";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static EngineRequest read(String id, byte[] body, int mostTokens) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        if (root == null || !root.path("model").isTextual()) {
            throw new IOException("no model");
        }
        boolean chat = root.has("messages");
        JsonNode prompt = chat ? root.get("messages") : root.path("prompt");
        int limit = root.path("max_tokens").asInt(root.path("max_completion_tokens").asInt(16));
        return new EngineRequest(
                id,
                root.get("model").asText(),
                root.path("priority").asInt(0),
                Math.max(1, prompt.toString().length() / BYTES_PER_TOKEN),
                Math.max(1, Math.min(limit, mostTokens)),
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                chat,
                prompt.toString());
    }

    String chunk(String token, boolean last) {
        ObjectNode root = root(CHUNK);
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.put("finish_reason", last ? "length" : null);
        return event(root);
    }

    /** Returns the first token: what ran, for whom, so that a crossed answer shows. */
    String signature() {
        return adapter + " " + id + " " + prompt;
    }

    String usageChunk(int generated) {
        if (!usage) {
            return "";
        }
        ObjectNode root = root(CHUNK);
        root.putArray("choices");
        putUsage(root, generated);
        return event(root);
    }

    String whole(String text, int generated) {
        ObjectNode root = root("");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "length");
        putUsage(root, generated);
        return text(root);
    }

    private static String event(ObjectNode root) {
        return "data: " + text(root) + "\n\n";
    }

    private static String text(ObjectNode root) {
        try {
            return MAPPER.writeValueAsString(root);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private void putUsage(ObjectNode root, int generated) {
        ObjectNode used = root.putObject("usage");
        used.put("prompt_tokens", promptTokens);
        used.put("completion_tokens", generated);
        used.put("total_tokens", promptTokens + generated);
    }

    /** Returns an answer or a part of one, whose kind of object ends differently in a chat. */
    private ObjectNode root(String chatSuffix) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", id);
        root.put("object", chat ? "chat.completion" + chatSuffix : "text_completion");
        root.put("model", adapter);
        return root;
    }
}
