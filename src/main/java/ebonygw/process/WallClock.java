package ebonygw.process;

import java.util.concurrent.TimeUnit;

/**
 * Tells the present time in nanoseconds since the Unix epoch.
 *
 * <p>The host's clock is read once, at the start; from then on time is measured by the monotonic
 * clock, so that it never steps back. Thread-safe.
 */
public final class WallClock {
    private final long mOffsetNanos;

    /** Creates a clock that agrees with the host's clock now. */
    public WallClock() {
        long epochNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
        mOffsetNanos = epochNanos - System.nanoTime();
    }

    /** Returns the present time. */
    public long nanos() {
        return System.nanoTime() + mOffsetNanos;
    }
}
