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
 * The top-level fields of a JSON object as ranges of its bytes.
 *
 * <p>The whole object is checked, and a name that stands twice is refused, so that two readers
 * cannot take different values from it. Immutable if the bytes are.
 */
public final class JsonFields {
    private static final JsonFactory FACTORY =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    private static final int EXTRA_BYTES = 256;

    private final byte[] mBytes;
    private final Map<String, Field> mFields;

    private JsonFields(byte[] bytes, Map<String, Field> fields) {
        mBytes = bytes;
        mFields = fields;
    }

    /**
     * Reads an object.
     *
     * @param bytes UTF-8 text of one JSON object, not changed afterwards
     * @throws NullPointerException if {@code bytes} is null
     * @throws IOException if it is not one whole JSON object in UTF-8, or a name stands twice in
     *     one object of it
     */
    public static JsonFields read(byte[] bytes) throws IOException {
        Objects.requireNonNull(bytes, "bytes");
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

    /** Returns whether a field stands there. */
    public boolean has(String name) {
        return mFields.containsKey(name);
    }

    /** Returns how many elements the array of a field has, -1 if it is not an array. */
    public int elements(String name) {
        Field field = mFields.get(name);
        return field == null ? -1 : field.elements();
    }

    /** Returns the type of an array's first element, null if it has none or is not an array. */
    public JsonToken firstElement(String name) {
        Field field = mFields.get(name);
        return field == null ? null : field.firstElement();
    }

    /** Returns the scalar value of a field as text, empty if it is absent, null or no scalar. */
    public String text(String name) {
        Field field = mFields.get(name);
        return field == null ? "" : field.text();
    }

    /** Returns the type of a field's value, null if it is absent. */
    public JsonToken type(String name) {
        Field field = mFields.get(name);
        return field == null ? null : field.type();
    }

    /** Returns the bytes of a field's value as they stand, empty if it is absent. */
    public ByteString value(String name) {
        Field field = mFields.get(name);
        return field == null
                ? ByteString.EMPTY
                : ByteString.copyFrom(mBytes, field.valueStart(), field.end() - field.valueStart());
    }

    /** Returns the length in bytes of a field's value as it stands, 0 if it is absent. */
    public int valueLength(String name) {
        Field field = mFields.get(name);
        return field == null ? 0 : field.end() - field.valueStart();
    }

    /** Returns the offset of a field's value, -1 if it is absent. */
    public int valueStart(String name) {
        Field field = mFields.get(name);
        return field == null ? -1 : field.valueStart();
    }

    /**
     * Returns the object with some fields replaced or added, the others byte by byte as they stand.
     *
     * @param replacements JSON text of each replaced or added value by name; an empty text removes
     *     the field
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
        for (Map.Entry<String, Field> kept : mFields.entrySet()) {
            if (!replacements.containsKey(kept.getKey())) {
                Field field = kept.getValue();
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
        int elements = -1;
        JsonToken firstElement = null;
        String text = "";
        if (type == JsonToken.START_ARRAY) {
            elements = 0;
            for (JsonToken element = parser.nextToken();
                    element != JsonToken.END_ARRAY;
                    element = parser.nextToken()) {
                if (elements == 0) {
                    firstElement = element;
                }
                elements++;
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
        fields.put(name, new Field(nameStart, valueStart, end, type, text, elements, firstElement));
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
            int elements,
            JsonToken firstElement) {
        private static final int MAX_TEXT_CHARS = 1024;
    }
}
