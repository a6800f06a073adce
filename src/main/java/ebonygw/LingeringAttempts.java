package ebonygw;

import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Attempts that have ended for the gateway while the engine may still run them.
 *
 * <p>Their adapter versions count as in use, so that they are not unloaded, until the engine
 * reports that it runs no more requests than the gateway awaits, or until the maximum overtime
 * after their deadline has passed. Not thread-safe.
 */
final class LingeringAttempts {
    /** Maximum lag of a load report; one that comes sooner may be older than the attempt's end. */
    static final long MAX_REPORT_LAG_NANOS = 2_000_000_000L;

    /** Maximum time that an engine is assumed to run an attempt past its deadline. */
    static final long MAX_OVERTIME_NANOS = 30_000_000_000L;

    private final List<Lingering> mAttempts = new ArrayList<>();

    /** Adds an attempt that has just ended without a complete response. */
    void add(Work work, long deadlineNanos, long nowNanos) {
        mAttempts.add(new Lingering(work, nowNanos, Math.max(nowNanos, deadlineNanos)));
    }

    /**
     * Handles a load report of the engine.
     *
     * @param running number of requests that the engine runs
     * @param awaited number of attempts whose responses are still awaited
     * @param nowNanos the current time
     * @param release receives each attempt that has ended at the engine
     */
    void onReport(int running, int awaited, long nowNanos, Consumer<Work> release) {
        if (running <= awaited) {
            release(attempt -> nowNanos - attempt.sinceNanos() >= MAX_REPORT_LAG_NANOS, release);
        }
    }

    /** Releases all attempts, as a restarted engine runs none of them. */
    void onRestart(Consumer<Work> release) {
        release(attempt -> true, release);
    }

    /** Releases the attempts whose maximum time at the engine is over. */
    void onTick(long nowNanos, Consumer<Work> release) {
        release(attempt -> nowNanos - attempt.deadlineNanos() > MAX_OVERTIME_NANOS, release);
    }

    /** Returns the number of attempts that may still run. */
    int size() {
        return mAttempts.size();
    }

    private void release(Predicate<Lingering> hasEnded, Consumer<Work> release) {
        List<Lingering> ended = new ArrayList<>(mAttempts);
        ended.removeIf(hasEnded.negate());
        mAttempts.removeAll(ended);
        ended.forEach(attempt -> release.accept(attempt.work()));
    }

    /**
     * A lingering attempt.
     *
     * @param work the attempt
     * @param sinceNanos when it ended for the gateway
     * @param deadlineNanos its deadline, not before {@code sinceNanos}
     */
    private record Lingering(Work work, long sinceNanos, long deadlineNanos) {}
}
