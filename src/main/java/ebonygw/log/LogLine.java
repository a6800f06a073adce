package ebonygw.log;

import java.util.Map;
import java.util.Objects;
import org.tinylog.Logger;

/**
 * Builds one log line of key=value pairs.
 *
 * <p>Values that contain spaces, quotes, equals signs, backslashes or characters outside of
 * printable ASCII are quoted and escaped, so that a log entry stays on one line and can be parsed
 * by {@link LogFields}. Not thread-safe.
 */
public final class LogLine {
    private static final String EVENT_FIELD = "event";
    private static final char FIRST_PRINTABLE = ' ';
    private static final char FIRST_AFTER_PRINTABLE = 0x7f;

    private final StringBuilder mText = new StringBuilder();

    private LogLine() {}

    /** Returns whether a message was built by this class, judged by its first field. */
    static boolean isLine(String message) {
        return message.startsWith(EVENT_FIELD + "=");
    }

    /**
     * Starts the line of an event.
     *
     * @param event name of the event, in lower case with underscores
     * @throws NullPointerException if {@code event} is null
     */
    public static LogLine of(String event) {
        Objects.requireNonNull(event, "event");
        return new LogLine().with(EVENT_FIELD, event);
    }

    /**
     * Returns a value as it is written in a line, quoted if necessary.
     *
     * @param value the value; null is written as an empty value
     */
    public static String quoted(String value) {
        if (value == null || value.isEmpty()) {
            return "\"\"";
        }
        if (isPlain(value)) {
            return value;
        }
        StringBuilder quoted = new StringBuilder(value.length() + 2).append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(quoted, value.charAt(i));
        }
        return quoted.append('"').toString();
    }

    /** Logs the line at level error. */
    public void error() {
        Logger.error((Object) mText.toString());
    }

    /** Logs the line with an exception at level error. */
    public void error(Throwable cause) {
        Logger.error(cause, "{}", mText);
    }

    /** Logs the line at level info. */
    public void info() {
        Logger.info((Object) mText.toString());
    }

    @Override
    public String toString() {
        return mText.toString();
    }

    /** Logs the line at level warning. */
    public void warn() {
        Logger.warn((Object) mText.toString());
    }

    /**
     * Adds a field.
     *
     * @param key the name; characters other than ASCII letters, digits, underscore, dot and hyphen
     *     are replaced by underscores
     * @param value the value; null is written as an empty value
     */
    public LogLine with(String key, Object value) {
        if (mText.length() > 0) {
            mText.append(' ');
        }
        for (int i = 0; i < key.length(); i++) {
            mText.append(isKeyCharacter(key.charAt(i)) ? key.charAt(i) : '_');
        }
        mText.append('=');
        mText.append(quoted(value == null ? null : value.toString()));
        return this;
    }

    /** Adds fields in the iteration order of the map. */
    public LogLine withAll(Map<String, ?> fields) {
        fields.forEach(this::with);
        return this;
    }

    private static void appendEscaped(StringBuilder text, char c) {
        switch (c) {
            case '"':
            case '\\':
                text.append('\\').append(c);
                break;
            case '\n':
                text.append("\\n");
                break;
            case '\r':
                text.append("\\r");
                break;
            case '\t':
                text.append("\\t");
                break;
            default:
                appendPrintableOrUnicodeEscape(text, c);
                break;
        }
    }

    private static void appendPrintableOrUnicodeEscape(StringBuilder text, char c) {
        boolean printable = c >= FIRST_PRINTABLE && c < FIRST_AFTER_PRINTABLE;
        if (printable || Character.isLetterOrDigit(c)) {
            text.append(c);
        } else {
            text.append(String.format("\\u%04x", (int) c));
        }
    }

    private static boolean isKeyCharacter(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '_'
                || c == '.'
                || c == '-';
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= FIRST_PRINTABLE
                    || c >= FIRST_AFTER_PRINTABLE
                    || c == '"'
                    || c == '='
                    || c == '\\') {
                return false;
            }
        }
        return true;
    }
}
