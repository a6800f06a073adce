package ebonygw.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; equal times in the order of planning. */
final class EventLoop {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mSequence;

    void after(long delayNanos, Runnable action) {
        at(mNowNanos + delayNanos, action);
    }

    void at(long atNanos, Runnable action) {
        mEvents.add(new Event(Math.max(atNanos, mNowNanos), mSequence++, action));
    }

    long nowNanos() {
        return mNowNanos;
    }

    /** Runs all actions up to a time, those planned meanwhile included. */
    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
