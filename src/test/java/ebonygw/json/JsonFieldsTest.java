package ebonygw.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonFieldsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void fieldsAreFoundWithTheirTypes() throws IOException {
        JsonFields fields =
                read(" {\"a\" : \"x\\u0041\", \"b\":[1,[2],{}], \"c\":-1.5e3 , \"d\":true} ");
        assertThat(fields.text("a")).isEqualTo("xA");
        assertThat(fields.elementCount("b")).isEqualTo(3);
        assertThat(fields.firstElementType("b")).isEqualTo(JsonToken.VALUE_NUMBER_INT);
        assertThat(fields.text("c")).isEqualTo("-1.5e3");
        assertThat(fields.type("d")).isEqualTo(JsonToken.VALUE_TRUE);
        assertThat(fields.type("e")).isNull();
        assertThat(fields.valueLength("b")).isEqualTo("[1,[2],{}]".length());
    }

    @Test
    void replacedFieldsChangeAndTheOthersKeepTheirBytes() throws IOException {
        JsonFields fields = read("{\"a\":1, \"model\" : \"old\",\"é\":1.50 }");
        assertThat(fields.with(Map.of("model", "\"new\"")).toStringUtf8())
                .isEqualTo("{\"model\":\"new\",\"a\":1,\"é\":1.50}");
        assertThat(fields.with(Map.of("model", "")).toStringUtf8())
                .isEqualTo("{\"a\":1,\"é\":1.50}");
        assertThat(read("{}").with(Map.of()).toStringUtf8()).isEqualTo("{}");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "1",
                "[]",
                "{",
                "{\"a\":1",
                "{\"a\":1}x",
                "{\"a\":1,\"a\":2}",
                "{\"a\":[}",
                "{\"b\":{\"a\":1,\"a\":2}}",
                "{\"model\":1,\"mod\\u0065l\":2}",
                "{} {}",
                "{a:1}"
            })
    void textThatIsNotOneObjectWithDistinctNamesIsRejected(String text) {
        assertThatThrownBy(() -> read(text)).isInstanceOf(IOException.class);
    }

    @Test
    void otherEncodingsAreRejected() {
        byte[] utf16 = "{\"a\":1}".getBytes(StandardCharsets.UTF_16LE);
        assertThatThrownBy(() -> JsonFields.read(utf16)).isInstanceOf(IOException.class);
        byte[] withByteOrderMark = "\uFEFF{\"a\":1}".getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> JsonFields.read(withByteOrderMark))
                .isInstanceOf(IOException.class);
    }

    @Property(seed = "17", tries = 300)
    void editingTheBytesGivesTheSameObjectAsEditingTheTree(
            @ForAll @Size(max = 6) Map<@AlphaChars @StringLength(max = 3) String, String> object,
            @ForAll String value)
            throws IOException {
        String json = MAPPER.writeValueAsString(object);
        String edited =
                read(json).with(Map.of("model", MAPPER.writeValueAsString(value))).toStringUtf8();
        Map<String, String> expected = new TreeMap<>(object);
        expected.put("model", value);
        assertThat(new TreeMap<>(MAPPER.readValue(edited, Map.class))).isEqualTo(expected);
    }

    private static JsonFields read(String text) throws IOException {
        return JsonFields.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
