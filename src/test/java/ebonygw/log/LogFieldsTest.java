package ebonygw.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class LogFieldsTest {
    @Test
    void textBeforeTheFirstFieldIsSkipped() {
        assertThat(LogFields.parse("  1.5 edge-1 time=t level=INFO event=e"))
                .isEqualTo(Map.of("time", "t", "level", "INFO", "event", "e"));
    }

    @Test
    void anEmptyValueIsKept() {
        assertThat(LogFields.parse("a=\"\" b=2")).containsEntry("a", "").containsEntry("b", "2");
    }

    @Property(seed = "5", tries = 300)
    void printableValuesSurviveARoundTrip(@ForAll("printable") String value) {
        String line = LogLine.of("e").with("value", value).with("last", 1).toString();

        assertThat(LogFields.parse(line)).containsEntry("value", value).containsEntry("last", "1");
    }

    @Provide
    Arbitrary<String> printable() {
        return Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(20);
    }
}
