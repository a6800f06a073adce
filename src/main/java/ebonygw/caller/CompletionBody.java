package ebonygw.caller;

import com.fasterxml.jackson.core.JsonToken;
import com.google.protobuf.ByteString;
import ebonygw.json.JsonFields;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;

/**
 * What the entry has to know of the JSON body of a completion.
 *
 * @param model the adapter asked for
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens most tokens of all answers together
 * @param prefixHash hash of the prompt's prefix, never 0
 * @param streamed whether the answer is wanted as server-sent events
 * @param json the body for the target
 */
record CompletionBody(
        String model,
        long promptTokens,
        long maxTokens,
        long prefixHash,
        boolean streamed,
        ByteString json) {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_BYTES = 1024;
    private static final long MAX_CHOICES = 128;
    private static final long MAX_TOKENS = 1 << 20;
    private static final LongHashFunction PREFIX_HASH = LongHashFunction.xx();

    /**
     * Reads a body.
     *
     * @param bytes the body
     * @param chat whether the prompt stands in {@code messages}
     * @param defaultMaxTokens tokens of an answer whose request names no limit
     * @return the body, or text for the caller on what is wrong with it
     */
    static Either<String, CompletionBody> read(byte[] bytes, boolean chat, long defaultMaxTokens) {
        try {
            return read(JsonFields.read(bytes), bytes, chat, defaultMaxTokens);
        } catch (IOException cause) {
            return Either.left("the body is not one JSON object with distinct field names");
        }
    }

    private static Either<String, CompletionBody> read(
            JsonFields fields, byte[] bytes, boolean chat, long defaultMaxTokens) {
        String prompt = chat ? "messages" : "prompt";
        String fault = fault(fields, prompt, chat);
        if (!fault.isEmpty()) {
            return Either.left(fault);
        }
        long limit =
                Math.max(
                        number(fields, "max_tokens", 0),
                        number(fields, "max_completion_tokens", 0));
        long choices = Math.max(number(fields, "n", 1), number(fields, "best_of", 1));
        long answers = choices * (chat ? 1 : prompts(fields));
        ByteString json =
                limit > 0
                        ? ByteString.copyFrom(bytes)
                        : fields.with(Map.of("max_tokens", Long.toString(defaultMaxTokens)));
        int prefixBytes = Math.min(PREFIX_BYTES, fields.valueLength(prompt));
        long hash = PREFIX_HASH.hashBytes(bytes, fields.valueStart(prompt), prefixBytes);
        return Either.right(
                new CompletionBody(
                        fields.text("model"),
                        (bytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN,
                        (limit > 0 ? limit : defaultMaxTokens) * answers,
                        hash == 0 ? 1 : hash,
                        fields.type("stream") == JsonToken.VALUE_TRUE,
                        json));
    }

    private static String fault(JsonFields fields, String prompt, boolean chat) {
        if (fields.type("model") != JsonToken.VALUE_STRING || fields.text("model").isEmpty()) {
            return "the field model has to name an adapter";
        }
        if (fields.has("api_key")) {
            return "a key may stand in the header field authorization only";
        }
        JsonToken promptType = fields.type(prompt);
        boolean string = !chat && promptType == JsonToken.VALUE_STRING;
        if (!string && (promptType != JsonToken.START_ARRAY || fields.elements(prompt) == 0)) {
            return "the field " + prompt + " is missing or of a wrong type";
        }
        JsonToken stream = fields.type("stream");
        if (stream != null && !stream.isBoolean() && stream != JsonToken.VALUE_NULL) {
            return "the field stream has to be true or false";
        }
        return numbersFault(fields);
    }

    private static long number(JsonFields fields, String name, long absent) {
        String text = fields.text(name);
        return text.isEmpty() ? absent : Long.parseLong(text);
    }

    private static String numberFault(JsonFields fields, String name, long most) {
        JsonToken type = fields.type(name);
        if (type == null || type == JsonToken.VALUE_NULL) {
            return "";
        }
        String text = fields.text(name);
        boolean whole = type == JsonToken.VALUE_NUMBER_INT && text.length() <= 9;
        if (whole && Long.parseLong(text) >= 1 && Long.parseLong(text) <= most) {
            return "";
        }
        return "the field " + name + " has to be a whole number from 1 to " + most;
    }

    private static String numbersFault(JsonFields fields) {
        String fault = numberFault(fields, "max_tokens", MAX_TOKENS);
        fault = fault.isEmpty() ? numberFault(fields, "max_completion_tokens", MAX_TOKENS) : fault;
        fault = fault.isEmpty() ? numberFault(fields, "n", MAX_CHOICES) : fault;
        return fault.isEmpty() ? numberFault(fields, "best_of", MAX_CHOICES) : fault;
    }

    private static long prompts(JsonFields fields) {
        JsonToken first = fields.firstElement("prompt");
        boolean many = first == JsonToken.VALUE_STRING || first == JsonToken.START_ARRAY;
        return many ? fields.elements("prompt") : 1;
    }
}
