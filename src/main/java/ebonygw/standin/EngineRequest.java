package ebonygw.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A completion request as the simulated engine parses it.
 *
 * @param id value of the header field x-request-id, empty if absent
 * @param adapter the requested adapter version, the value of {@code model}
 * @param priority scheduling priority; smaller values run first
 * @param promptTokens estimated number of prompt tokens, at least 1
 * @param tokens number of tokens to generate, at least 1
 * @param streamed whether the response is a stream of server-sent events
 * @param usage whether a streamed response ends with a usage chunk
 * @param chat whether the request has {@code messages}, and so gets a chat response
 * @param prompt the prompt or the messages, as JSON text
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
    private static final int CHARS_PER_TOKEN = 4;
    private static final String CHUNK_SUFFIX = ".chunk";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses a request body.
     *
     * @param id value of the header field x-request-id, empty if absent
     * @param body the JSON body
     * @param maxTokens maximum number of tokens to generate, whatever the body requests
     * @throws IOException if the body is not JSON or has no text field {@code model}
     */
    static EngineRequest parse(String id, byte[] body, int maxTokens) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        if (root == null || !root.path("model").isTextual()) {
            throw new IOException("completion request has no text field \"model\"");
        }
        boolean chat = root.has("messages");
        JsonNode prompt = chat ? root.get("messages") : root.path("prompt");
        int limit = root.path("max_tokens").asInt(root.path("max_completion_tokens").asInt(16));
        return new EngineRequest(
                id,
                root.get("model").asText(),
                root.path("priority").asInt(0),
                Math.max(1, prompt.toString().length() / CHARS_PER_TOKEN),
                Math.max(1, Math.min(limit, maxTokens)),
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                chat,
                prompt.toString());
    }

    /** Returns one token of a streamed response as a server-sent event. */
    String chunk(String token, boolean last) {
        ObjectNode root = newResponseObject(CHUNK_SUFFIX);
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.put("finish_reason", last ? "length" : null);
        return toServerSentEvent(root);
    }

    /**
     * Returns the text of the first token. It holds the adapter, the request id and the prompt, so
     * that a test detects a response that was delivered to the wrong caller.
     */
    String firstToken() {
        return adapter + " " + id + " " + prompt;
    }

    /** Returns the body of a response that is not streamed. */
    String fullResponse(String text, int generated) {
        ObjectNode root = newResponseObject("");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "length");
        putUsage(root, generated);
        return toJson(root);
    }

    /**
     * Returns the usage as a server-sent event, empty unless the request has {@code include_usage}.
     */
    String usageChunk(int generated) {
        if (!usage) {
            return "";
        }
        ObjectNode root = newResponseObject(CHUNK_SUFFIX);
        root.putArray("choices");
        putUsage(root, generated);
        return toServerSentEvent(root);
    }

    private static String toJson(ObjectNode root) {
        try {
            return MAPPER.writeValueAsString(root);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private static String toServerSentEvent(ObjectNode root) {
        return "data: " + toJson(root) + "\n\n";
    }

    /** Creates a response or chunk; the suffix of its object type applies to chats only. */
    private ObjectNode newResponseObject(String chatObjectSuffix) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", id);
        root.put("object", chat ? "chat.completion" + chatObjectSuffix : "text_completion");
        root.put("model", adapter);
        return root;
    }

    private void putUsage(ObjectNode root, int generated) {
        ObjectNode usageNode = root.putObject("usage");
        usageNode.put("prompt_tokens", promptTokens);
        usageNode.put("completion_tokens", generated);
        usageNode.put("total_tokens", promptTokens + generated);
    }
}
