package review3;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Writes the record of a case, with the time since its start in milliseconds. */
final class Record {
    private final PrintStream mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) {
        try {
            mOut = new PrintStream(file.toFile());
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(format, arguments);
        mOut.printf("%7d %s%n", (System.nanoTime() - mStart) / 1_000_000, text);
        mOut.flush();
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }
}
