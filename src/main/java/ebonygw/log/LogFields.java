package ebonygw.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** Parses log lines of key=value pairs. */
public final class LogFields {
    private LogFields() {}

    /**
     * Returns the fields of a line in their order; text before the first field is skipped.
     *
     * @param line a line written by {@link LogLine}, possibly with a prefix added by another
     *     program
     * @throws NullPointerException if {@code line} is null
     */
    public static Map<String, String> parse(String line) {
        Objects.requireNonNull(line, "line");
        Map<String, String> fields = new LinkedHashMap<>();
        int index = 0;
        while (index < line.length()) {
            int equals = line.indexOf('=', index);
            if (equals < 0) {
                break;
            }
            String name = line.substring(line.lastIndexOf(' ', equals) + 1, equals);
            StringBuilder value = new StringBuilder();
            index = readValue(line, equals + 1, value);
            fields.put(name, value.toString());
        }
        return fields;
    }

    /** Appends the plain or quoted value at {@code start}; returns the index after it. */
    private static int readValue(String line, int start, StringBuilder value) {
        if (start >= line.length() || line.charAt(start) != '"') {
            int end = line.indexOf(' ', start);
            value.append(line, start, end < 0 ? line.length() : end);
            return end < 0 ? line.length() : end + 1;
        }
        int index = start + 1;
        while (index < line.length() && line.charAt(index) != '"') {
            if (line.charAt(index) == '\\' && index + 1 < line.length()) {
                index++;
            }
            value.append(line.charAt(index));
            index++;
        }
        return index + 1;
    }
}
