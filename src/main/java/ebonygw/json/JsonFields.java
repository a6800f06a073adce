package ebonygw.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The top-level fields of a JSON object, as ranges of its bytes.
 *
 * <p>The whole object is validated. Duplicate names are rejected at every level, because two
 * parsers could read different values from them. Immutable as long as the bytes are not changed.
 */
public final class JsonFields {
    private static final JsonFactory FACTORY =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** Initial room in the output buffer for replaced and added fields. */
    private static final int EXTRA_BYTES = 256;

    private final byte[] mBytes;
    private final Map<String, Field> mFields;

    private JsonFields(byte[] bytes, Map<String, Field> fields) {
        mBytes = bytes;
        mFields = fields;
    }

    /**
     * Parses an object.
     *
     * @param bytes UTF-8 text of one JSON object, which is not copied and must not be changed
     *     afterwards
     * @throws NullPointerException if {@code bytes} is null
     * @throws IOException if the text is not exactly one JSON object in UTF-8 without a byte order
     *     mark, or an object in it has duplicate names
     */
    public static JsonFields read(byte[] bytes) throws IOException {
        Objects.requireNonNull(bytes, "bytes");
        // A zero byte means UTF-16 or UTF-32; a negative one starts a byte order mark.
        if (bytes.length < 2 || bytes[0] == 0 || bytes[1] == 0 || bytes[0] < 0) {
            throw new IOException("not JSON in UTF-8");
        }
        Map<String, Field> fields = new LinkedHashMap<>();
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                readField(parser, fields);
            }
            if (parser.nextToken() != null) {
                throw new IOException("text after the JSON object");
            }
        }
        return new JsonFields(bytes, fields);
    }

    /** Returns whether the object has a field, even if its value is null. */
    public boolean has(String name) {
        return mFields.containsKey(name);
    }

    /** Returns the number of elements in the array of a field, -1 if its value is not an array. */
    public int elementCount(String name) {
        Field field = mFields.get(name);
        return field == null ? -1 : field.elementCount();
    }

    /** Returns the type of the first element of an array, null if it is empty or not an array. */
    public JsonToken firstElementType(String name) {
        Field field = mFields.get(name);
        return field == null ? null : field.firstElementType();
    }

    /**
     * Returns the scalar value of a field as text; empty if the field is absent, null, an object,
     * an array, or a string of more than 1,024 characters.
     */
    public String text(String name) {
        Field field = mFields.get(name);
        return field == null ? "" : field.text();
    }

    /** Returns the type of the value of a field, null if the field is absent. */
    public JsonToken type(String name) {
        Field field = mFields.get(name);
        return field == null ? null : field.type();
    }

    /** Returns the unchanged bytes of the value of a field, empty if the field is absent. */
    public ByteString value(String name) {
        Field field = mFields.get(name);
        return field == null
                ? ByteString.EMPTY
                : ByteString.copyFrom(mBytes, field.valueStart(), field.end() - field.valueStart());
    }

    /** Returns the length in bytes of the value of a field, 0 if the field is absent. */
    public int valueLength(String name) {
        Field field = mFields.get(name);
        return field == null ? 0 : field.end() - field.valueStart();
    }

    /** Returns the byte offset of the value of a field, -1 if the field is absent. */
    public int valueStart(String name) {
        Field field = mFields.get(name);
        return field == null ? -1 : field.valueStart();
    }

    /**
     * Returns the object with some fields replaced, added or removed. The names and values of the
     * other fields keep their exact bytes, and follow the replacements.
     *
     * @param replacements JSON text of each replaced or added value by field name, which must need
     *     no escaping; an empty text removes the field
     */
    public ByteString with(Map<String, String> replacements) {
        ByteString.Output output = ByteString.newOutput(mBytes.length + EXTRA_BYTES);
        String separator = "{";
        for (Map.Entry<String, String> replacement : replacements.entrySet()) {
            if (!replacement.getValue().isEmpty()) {
                write(output, separator + '"' + replacement.getKey() + "\":");
                write(output, replacement.getValue());
                separator = ",";
            }
        }
        for (Map.Entry<String, Field> original : mFields.entrySet()) {
            if (!replacements.containsKey(original.getKey())) {
                Field field = original.getValue();
                write(output, separator);
                output.write(mBytes, field.nameStart(), field.end() - field.nameStart());
                separator = ",";
            }
        }
        write(output, separator.equals("{") ? "{}" : "}");
        return output.toByteString();
    }

    private static void readField(JsonParser parser, Map<String, Field> fields) throws IOException {
        int nameStart = (int) parser.currentTokenLocation().getByteOffset();
        String name = parser.currentName();
        JsonToken type = parser.nextToken();
        int valueStart = (int) parser.currentTokenLocation().getByteOffset();
        int elementCount = -1;
        JsonToken firstElementType = null;
        String text = "";
        if (type == JsonToken.START_ARRAY) {
            elementCount = 0;
            for (JsonToken element = parser.nextToken();
                    element != JsonToken.END_ARRAY;
                    element = parser.nextToken()) {
                if (elementCount == 0) {
                    firstElementType = element;
                }
                elementCount++;
                parser.skipChildren();
            }
        } else if (type.isStructStart()) {
            parser.skipChildren();
        } else if (type.isNumeric() || type.isBoolean()) {
            text = parser.getText();
        } else if (type == JsonToken.VALUE_STRING) {
            parser.finishToken();
            text = parser.getTextLength() <= Field.MAX_TEXT_CHARS ? parser.getText() : "";
        }
        int end = (int) parser.currentLocation().getByteOffset();
        fields.put(
                name,
                new Field(nameStart, valueStart, end, type, text, elementCount, firstElementType));
    }

    private static void write(ByteString.Output output, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
    }

    private record Field(
            int nameStart,
            int valueStart,
            int end,
            JsonToken type,
            String text,
            int elementCount,
            JsonToken firstElementType) {
        private static final int MAX_TEXT_CHARS = 1024;
    }
}
