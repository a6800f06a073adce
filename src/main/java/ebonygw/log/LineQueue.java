package ebonygw.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines in the background, so that no caller ever waits for a log.
 *
 * <p>Lines of one event beyond its budget in a second, and lines that find the queue full, are left
 * out; the next lines written say how many. Warnings and errors have a budget of their own, so that
 * successes cannot push them out. Thread-safe.
 */
final class LineQueue {
    /** Lines that may wait; about a second of the most that is written. */
    private static final int CAPACITY = 4_096;

    /** Lines of one event in a second; about four for each request of an entry at its peak. */
    private static final int LINES_PER_EVENT = 400;

    /** Pause after a batch, in which further lines come together. */
    private static final long PAUSE_MILLIS = 20;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PrintStream mOut;
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(CAPACITY);
    private final Map<String, Integer> mWritten = new HashMap<>();
    private final AtomicLong mLeftOut = new AtomicLong();
    private long mSecondNanos;

    /**
     * Creates a queue; lines wait until {@link #start}.
     *
     * @param out where the lines go
     */
    LineQueue(PrintStream out) {
        mOut = Objects.requireNonNull(out, "out");
    }

    /**
     * Takes a line; never waits.
     *
     * @param budget name of the budget that it is counted in
     * @param line the line without its end
     * @param nowNanos the present time of any steady clock
     * @return whether it will be written
     */
    boolean offer(String budget, String line, long nowNanos) {
        if (within(budget, nowNanos) && mLines.offer(line)) {
            return true;
        }
        mLeftOut.incrementAndGet();
        return false;
    }

    /** Writes the lines that wait. */
    synchronized void drain() {
        List<String> lines = new ArrayList<>();
        mLines.drainTo(lines);
        long leftOut = mLeftOut.getAndSet(0);
        if (leftOut > 0) {
            lines.add(LogLine.of("log_lines_left_out").with("lines", leftOut).toString());
        }
        if (!lines.isEmpty()) {
            mOut.print(String.join("\n", lines) + '\n');
            mOut.flush();
        }
    }

    /** Starts the thread that writes. */
    void start() {
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                String first = mLines.take();
                mOut.print(first + '\n');
                drain();
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException ended) {
            drain();
        }
    }

    private synchronized boolean within(String budget, long nowNanos) {
        if (nowNanos - mSecondNanos >= SECOND_NANOS) {
            mSecondNanos = nowNanos;
            mWritten.clear();
        }
        return mWritten.merge(budget, 1, Integer::sum) <= LINES_PER_EVENT;
    }
}
