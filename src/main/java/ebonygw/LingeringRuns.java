package ebonygw;

import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Attempts that were given up while the engine may still run them.
 *
 * <p>Their adapter versions stay in use until the engine's reports show that it runs no more than
 * the attempts that are still awaited, or until their longest time is over. Not thread-safe.
 */
final class LingeringRuns {
    /** How old a given-up attempt must be before a report can speak for it, as reports lag. */
    static final long REPORT_LAG_NANOS = 2_000_000_000L;

    /** How long past its deadline an engine is taken to run a given-up attempt at most. */
    static final long OVERTIME_NANOS = 30_000_000_000L;

    private final List<Lingering> mRuns = new ArrayList<>();

    /** Adds an attempt that has just been given up. */
    void add(Work work, long deadlineNanos, long nowNanos) {
        mRuns.add(new Lingering(work, nowNanos, Math.max(nowNanos, deadlineNanos)));
    }

    /** Takes the loss of all that ran, as the engine restarted; releases every attempt. */
    void onRestart(Consumer<Work> release) {
        release(run -> true, release);
    }

    /**
     * Takes a report of the engine.
     *
     * @param running requests that the engine runs
     * @param awaited attempts whose answers are still awaited
     * @param nowNanos the present time
     * @param release takes each attempt that has ended
     */
    void onReport(int running, int awaited, long nowNanos, Consumer<Work> release) {
        if (running <= awaited) {
            release(run -> nowNanos - run.sinceNanos() >= REPORT_LAG_NANOS, release);
        }
    }

    /** Lets time pass. */
    void onTick(long nowNanos, Consumer<Work> release) {
        release(run -> nowNanos - run.deadlineNanos() > OVERTIME_NANOS, release);
    }

    /** Returns how many attempts may still run. */
    int size() {
        return mRuns.size();
    }

    private void release(Predicate<Lingering> hasEnded, Consumer<Work> release) {
        List<Lingering> ended = new ArrayList<>(mRuns);
        ended.removeIf(hasEnded.negate());
        mRuns.removeAll(ended);
        ended.forEach(run -> release.accept(run.work()));
    }

    /**
     * A given-up attempt.
     *
     * @param work the attempt
     * @param sinceNanos when it was given up
     * @param deadlineNanos its deadline
     */
    private record Lingering(Work work, long sinceNanos, long deadlineNanos) {}
}
