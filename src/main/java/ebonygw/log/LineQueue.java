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
 * Writes log lines on a background thread, so that callers do not write to the output themselves.
 *
 * <p>Lines are dropped if the queue is full or their budget for the second is used up; the number
 * of dropped lines is logged with the next batch. {@link KeyValueWriter} gives each event one
 * budget for warnings and errors and another for all other levels, so that frequent successes
 * cannot displace failures. Thread-safe.
 */
final class LineQueue {
    /** Maximum number of queued lines; about one second of output at the peak rate. */
    private static final int CAPACITY_LINES = 4_096;

    /**
     * Maximum number of lines per second for one budget; about four for each request of an entry at
     * its peak rate.
     */
    private static final int LINES_PER_SECOND_AND_BUDGET = 400;

    /** Pause after a batch, in which lines collect for the next one. */
    private static final long BATCH_PAUSE_MILLIS = 20;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PrintStream mOut;
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(CAPACITY_LINES);
    private final Map<String, Integer> mLinesByBudget = new HashMap<>();
    private final AtomicLong mDroppedCount = new AtomicLong();
    private long mWindowStartNanos;

    /**
     * Creates a queue; lines are held until {@link #start} or {@link #drain}.
     *
     * @param out receives the lines
     */
    LineQueue(PrintStream out) {
        mOut = Objects.requireNonNull(out, "out");
    }

    /**
     * Queues a line, or drops it if the queue is full or the budget is used up.
     *
     * <p>Never waits for room in the queue. It can wait while {@link #drain} writes a batch,
     * because both take the same lock.
     *
     * @param budget name of the budget that the line is counted in
     * @param line the line without a line break at its end
     * @param nowNanos the present time of a monotonic clock
     * @return whether the line will be written
     */
    boolean offer(String budget, String line, long nowNanos) {
        if (withinBudget(budget, nowNanos) && mLines.offer(line)) {
            return true;
        }
        mDroppedCount.incrementAndGet();
        return false;
    }

    /** Writes the queued lines, and the number of dropped ones if there are any. */
    synchronized void drain() {
        List<String> lines = new ArrayList<>();
        mLines.drainTo(lines);
        long dropped = mDroppedCount.getAndSet(0);
        if (dropped > 0) {
            lines.add(LogLine.of("log_lines_left_out").with("lines", dropped).toString());
        }
        if (!lines.isEmpty()) {
            mOut.print(String.join("\n", lines) + '\n');
            mOut.flush();
        }
    }

    /** Starts the writing thread, a daemon. */
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
                Thread.sleep(BATCH_PAUSE_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            drain();
        }
    }

    private synchronized boolean withinBudget(String budget, long nowNanos) {
        if (nowNanos - mWindowStartNanos >= SECOND_NANOS) {
            mWindowStartNanos = nowNanos;
            mLinesByBudget.clear();
        }
        return mLinesByBudget.merge(budget, 1, Integer::sum) <= LINES_PER_SECOND_AND_BUDGET;
    }
}
