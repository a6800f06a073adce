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
 * Writes each log entry, of this project and of libraries, as one line of key=value pairs.
 *
 * <p>Lines go to the standard error stream at once or, after {@link #writeInBackground}, to
 * standard output through a queue. Tinylog finds the class by the setting {@code writer = key
 * value} and the service file in {@code META-INF}. Thread-safe.
 */
public final class KeyValueWriter implements Writer {
    private static volatile LineQueue sQueue;

    private final PrintStream mOut = System.err;

    /**
     * Creates a writer; tinylog requires this signature.
     *
     * @param properties properties of the writer in the configuration; not used
     */
    public KeyValueWriter(Map<String, String> properties) {}

    /** Writes to standard output from now on, on a background thread. */
    static void writeInBackground() {
        LineQueue queue = new LineQueue(System.out);
        queue.start();
        sQueue = queue;
    }

    /** Formats an entry as one line, without a line break at the end. */
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

    /**
     * Writes the lines that are queued; does nothing unless lines are written in the background.
     */
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
            queue.offer(budgetName(entry), line(entry), System.nanoTime());
        }
    }

    /**
     * Returns the rate-limit budget of an entry: its event, with a separate budget for warnings and
     * errors. Entries of libraries share the event {@code log}.
     */
    private static String budgetName(LogEntry entry) {
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        int end = message.indexOf(' ');
        String event = LogLine.isLine(message) && end > 0 ? message.substring(0, end) : "log";
        return entry.getLevel().ordinal() >= Level.WARN.ordinal() ? event + " failed" : event;
    }
}
