import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time of each. */
final class Record {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void add(String format, Object... values) {
        mOut.printf("%8d ms  %s%n", now(), String.format(format, values));
        mOut.flush();
    }
}
