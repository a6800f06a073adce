package ebonygw.log;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

class LogLineTest {
    @Test
    void plainValuesAreNotQuoted() {
        LogLine line = LogLine.of("link_up").with("peer", "entry-1").with("port", 80);
        assertThat(line).hasToString("event=link_up peer=entry-1 port=80");
    }

    @Test
    void valuesThatCouldBreakALineAreQuotedAndEscaped() {
        assertThat(LogLine.quoted("a b")).isEqualTo("\"a b\"");
        assertThat(LogLine.quoted("a=\"b\"\\")).isEqualTo("\"a=\\\"b\\\"\\\\\"");
        assertThat(LogLine.quoted("a\nlevel=ERROR\r\t")).isEqualTo("\"a\\nlevel=ERROR\\r\\t\"");
        assertThat(LogLine.quoted("\u0000\u0085\u2028")).isEqualTo("\"\\u0000\\u0085\\u2028\"");
        assertThat(LogLine.quoted(null)).isEqualTo("\"\"");
    }

    @Test
    void fieldNamesCannotBreakALine() {
        assertThat(LogLine.of("e").with("a b=\n", 1)).hasToString("event=e a_b__=1");
    }

    @Property(seed = "7")
    void anyValueStaysOneFieldOfOneLine(@ForAll String value) {
        String quoted = LogLine.quoted(value);
        assertThat(quoted.chars()).noneMatch(Character::isISOControl);
        assertThat(quoted.contains(" ") || quoted.contains("="))
                .isEqualTo(quoted.startsWith("\"") && (value.contains(" ") || value.contains("=")));
        if (quoted.startsWith("\"")) {
            String inside = quoted.substring(1, quoted.length() - 1);
            assertThat(inside.replaceAll("\\\\.", "")).doesNotContain("\"").doesNotContain("\\");
        }
    }

    @Test
    void libraryMessagesWithExceptionsBecomeOneLineOfFields() {
        LogEntry entry =
                new LogEntry(
                        RuntimeProvider.createTimestamp(),
                        null,
                        null,
                        "org.example.Library",
                        null,
                        null,
                        0,
                        null,
                        Level.WARN,
                        "two\nlines",
                        new IllegalStateException("boom"));
        String line = KeyValueWriter.line(entry);
        assertThat(line).contains(" level=WARN event=log logger=org.example.Library ");
        assertThat(line).contains("message=\"two\\nlines\" exception=\"java.lang.Illegal");
        assertThat(line).doesNotContain("\n");
    }
}
