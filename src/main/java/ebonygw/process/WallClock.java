package ebonygw.process;

import java.util.concurrent.TimeUnit;

/**
 * Clock that returns the time in nanoseconds since the Unix epoch and never steps back.
 *
 * <p>The system clock is read once, on creation; after that the time advances with the monotonic
 * clock. Thread-safe.
 */
public final class WallClock {
    private final long mOffsetNanos;

    /** Creates a clock set to the current time of the system clock. */
    public WallClock() {
        long epochNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
        mOffsetNanos = epochNanos - System.nanoTime();
    }

    /** Returns the current time in nanoseconds since the Unix epoch. */
    public long nanos() {
        return System.nanoTime() + mOffsetNanos;
    }
}
