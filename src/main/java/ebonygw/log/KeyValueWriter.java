package ebonygw.log;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry, of our own code and of libraries, as one line of key=value pairs on the
 * standard error stream, or in the background on standard output for processes that serve.
 *
 * <p>The logging library finds it as {@code key value}. Thread-safe.
 */
public final class KeyValueWriter implements Writer {
    private static volatile LineQueue sQueue;

    private final PrintStream mOut = System.err;

    /**
     * Creates a writer.
     *
     * @param properties properties of the configuration, none of which is used
     */
    public KeyValueWriter(Map<String, String> properties) {}

    /** Writes to standard output from now on, in the background. */
    static void inBackground() {
        LineQueue queue = new LineQueue(System.out);
        queue.start();
        sQueue = queue;
    }

    /** Returns an entry as a line without its end. */
    static String line(LogEntry entry) {
        StringBuilder line = new StringBuilder();
        line.append("time=").append(entry.getTimestamp().toInstant());
        line.append(" level=").append(entry.getLevel()).append(' ');
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        if (LogLine.isLine(message)) {
            line.append(message);
        } else {
            line.append(
                    LogLine.of("log")
                            .with("logger", entry.getClassName())
                            .with("message", message));
        }
        if (entry.getException() != null) {
            StringWriter trace = new StringWriter();
            entry.getException().printStackTrace(new PrintWriter(trace));
            line.append(" exception=").append(LogLine.quoted(trace.toString()));
        }
        return line.toString();
    }

    /** Writes what waits. */
    static void drain() {
        LineQueue queue = sQueue;
        if (queue != null) {
            queue.drain();
        }
    }

    @Override
    public void close() {
        flush();
    }

    @Override
    public void flush() {
        drain();
        mOut.flush();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        LineQueue queue = sQueue;
        if (queue == null) {
            mOut.println(line(entry));
        } else {
            queue.offer(budget(entry), line(entry), System.nanoTime());
        }
    }

    private static String budget(LogEntry entry) {
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        int end = message.indexOf(' ');
        String event = LogLine.isLine(message) && end > 0 ? message.substring(0, end) : "log";
        return entry.getLevel().ordinal() >= Level.WARN.ordinal() ? event + " failed" : event;
    }
}
