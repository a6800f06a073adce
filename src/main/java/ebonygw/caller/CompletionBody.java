package ebonygw.caller;

import com.fasterxml.jackson.core.JsonToken;
import com.google.protobuf.ByteString;
import ebonygw.json.JsonFields;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;

/**
 * The fields of a completion request body that the entry evaluates.
 *
 * @param model requested adapter, with or without a version
 * @param promptTokens estimated number of prompt tokens
 * @param maxTokens maximum number of generated tokens, total of all choices and prompts
 * @param prefixHash hash of the first bytes of the prompt, never 0
 * @param streamed whether the response is requested as server-sent events
 * @param json the body to send to the target, always with a token limit
 */
record CompletionBody(
        String model,
        long promptTokens,
        long maxTokens,
        long prefixHash,
        boolean streamed,
        ByteString json) {
    /** Estimate for the number of prompt tokens. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final int PREFIX_BYTES = 1024;
    private static final long MAX_CHOICES = 128;
    private static final long MAX_TOKENS = 1 << 20;
    private static final LongHashFunction PREFIX_HASH = LongHashFunction.xx();

    /**
     * Parses and validates a body.
     *
     * @param chat whether the prompt is in the field {@code messages}, not in {@code prompt}
     * @param defaultMaxTokens maximum tokens of a choice if the body gives no limit
     * @return the body, or an error message for the caller
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
        String error = validationError(fields, prompt, chat);
        if (!error.isEmpty()) {
            return Either.left(error);
        }
        long limit =
                Math.max(
                        number(fields, "max_tokens", 0),
                        number(fields, "max_completion_tokens", 0));
        long choices = Math.max(number(fields, "n", 1), number(fields, "best_of", 1));
        long completions = choices * (chat ? 1 : promptCount(fields));
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
                        (limit > 0 ? limit : defaultMaxTokens) * completions,
                        hash == 0 ? 1 : hash,
                        fields.type("stream") == JsonToken.VALUE_TRUE,
                        json));
    }

    private static long number(JsonFields fields, String name, long defaultValue) {
        String text = fields.text(name);
        return text.isEmpty() ? defaultValue : Long.parseLong(text);
    }

    /** Returns what is wrong with an optional integer field, empty if it is valid or absent. */
    private static String numberError(JsonFields fields, String name, long max) {
        JsonToken type = fields.type(name);
        if (type == null || type == JsonToken.VALUE_NULL) {
            return "";
        }
        String text = fields.text(name);
        boolean integer = type == JsonToken.VALUE_NUMBER_INT && text.length() <= 9;
        if (integer && Long.parseLong(text) >= 1 && Long.parseLong(text) <= max) {
            return "";
        }
        return "the field " + name + " has to be a whole number from 1 to " + max;
    }

    private static String numericFieldsError(JsonFields fields) {
        String error = numberError(fields, "max_tokens", MAX_TOKENS);
        error = error.isEmpty() ? numberError(fields, "max_completion_tokens", MAX_TOKENS) : error;
        error = error.isEmpty() ? numberError(fields, "n", MAX_CHOICES) : error;
        return error.isEmpty() ? numberError(fields, "best_of", MAX_CHOICES) : error;
    }

    /** Returns the number of prompts: an array of strings or of token arrays holds several. */
    private static long promptCount(JsonFields fields) {
        JsonToken first = fields.firstElementType("prompt");
        boolean severalPrompts = first == JsonToken.VALUE_STRING || first == JsonToken.START_ARRAY;
        return severalPrompts ? fields.elementCount("prompt") : 1;
    }

    /** Returns what is wrong with the fields, empty if they are valid. */
    private static String validationError(JsonFields fields, String prompt, boolean chat) {
        if (fields.type("model") != JsonToken.VALUE_STRING || fields.text("model").isEmpty()) {
            return "the field model has to name an adapter";
        }
        if (fields.has("api_key")) {
            return "a key may stand in the header field authorization only";
        }
        JsonToken promptType = fields.type(prompt);
        boolean string = !chat && promptType == JsonToken.VALUE_STRING;
        if (!string && (promptType != JsonToken.START_ARRAY || fields.elementCount(prompt) == 0)) {
            return "the field " + prompt + " is missing or of a wrong type";
        }
        JsonToken stream = fields.type("stream");
        if (stream != null && !stream.isBoolean() && stream != JsonToken.VALUE_NULL) {
            return "the field stream has to be true or false";
        }
        return numericFieldsError(fields);
    }
}
