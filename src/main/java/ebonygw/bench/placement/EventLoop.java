package ebonygw.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs the events of a simulation in order of their virtual times. Events of the same time run in
 * the order in which they were scheduled, so that runs are deterministic.
 */
final class EventLoop {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mSequence;

    long nowNanos() {
        return mNowNanos;
    }

    /** Runs all events up to and including a time, and those that they schedule up to that time. */
    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }

    void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(mNowNanos + delayNanos, action);
    }

    /** Schedules an action; a time in the past counts as the present virtual time. */
    void scheduleAt(long atNanos, Runnable action) {
        mEvents.add(new Event(Math.max(atNanos, mNowNanos), mSequence++, action));
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
