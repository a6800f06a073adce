package ebonygw.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** Takes log lines of key=value pairs apart again. */
public final class LogFields {
    private LogFields() {}

    /**
     * Returns the fields of a line in their order; text before the first field is passed over.
     *
     * @param line a line written by {@link LogLine}, with or without a prefix of another program
     * @throws NullPointerException if {@code line} is null
     */
    public static Map<String, String> parse(String line) {
        Objects.requireNonNull(line, "line");
        Map<String, String> fields = new LinkedHashMap<>();
        int at = 0;
        while (at < line.length()) {
            int equals = line.indexOf('=', at);
            if (equals < 0) {
                break;
            }
            String name = line.substring(line.lastIndexOf(' ', equals) + 1, equals);
            StringBuilder value = new StringBuilder();
            at = readValue(line, equals + 1, value);
            fields.put(name, value.toString());
        }
        return fields;
    }

    /** Reads a value, plain or quoted; returns the place after it. */
    private static int readValue(String line, int start, StringBuilder value) {
        if (start >= line.length() || line.charAt(start) != '"') {
            int end = line.indexOf(' ', start);
            value.append(line, start, end < 0 ? line.length() : end);
            return end < 0 ? line.length() : end + 1;
        }
        int at = start + 1;
        while (at < line.length() && line.charAt(at) != '"') {
            if (line.charAt(at) == '\\' && at + 1 < line.length()) {
                at++;
            }
            value.append(line.charAt(at));
            at++;
        }
        return at + 1;
    }
}
