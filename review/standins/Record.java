import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String format, Object... arguments) {
        double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        String line =
                String.format(Locale.ROOT, "%7.3f ", seconds)
                        + String.format(Locale.ROOT, format, arguments);
        mOut.println(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
