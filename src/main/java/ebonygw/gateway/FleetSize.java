package ebonygw.gateway;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * How many entries share what the fleet has in common, as this entry may assume it.
 *
 * <p>Entries see registrations at different times, and a registration lapses while its entry still
 * runs. Parts of one divided by {@link #entries()} nevertheless add up to at most one over all
 * entries that are {@link #isCertain}: each counts a registration for {@link #HOLD_NANOS} after it
 * was last seen, uses its part only while its view is at most {@link #MAX_VIEW_AGE_NANOS} old and
 * contains itself, and starts once all others must have seen it. Not thread-safe.
 */
final class FleetSize {
    /** Maximum age of the registrations that a part is based on: several polls of the store. */
    static final long MAX_VIEW_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time from the registration of an entry until others with a part have seen it. */
    static final long SETTLE_NANOS = MAX_VIEW_AGE_NANOS + TimeUnit.SECONDS.toNanos(1);

    /**
     * How long a registration is counted after it was last seen. Its entry stops using its part
     * earlier: when it sees the removal, or when its view is too old.
     */
    static final long HOLD_NANOS = 3 * MAX_VIEW_AGE_NANOS;

    /** Numbers that have been seen, in order of time and strictly decreasing. */
    private final ArrayDeque<Seen> mSeen = new ArrayDeque<>();

    private long mRegisteredSinceNanos = Long.MAX_VALUE;
    private long mViewAgeNanos = Long.MAX_VALUE;

    private record Seen(int entries, long lastNanos) {}

    /**
     * Applies the registrations that this entry sees now.
     *
     * @param entries number of registered entries, including this one
     * @param registered whether this entry is among the registrations
     * @param viewAgeMillis time since the service last confirmed them, negative if it never did
     * @param nowNanos the current time
     */
    void onView(int entries, boolean registered, long viewAgeMillis, long nowNanos) {
        while (!mSeen.isEmpty() && mSeen.peekLast().entries() <= entries) {
            mSeen.removeLast();
        }
        mSeen.addLast(new Seen(entries, nowNanos));
        Iterator<Seen> oldest = mSeen.iterator();
        while (oldest.next().lastNanos() < nowNanos - HOLD_NANOS) {
            oldest.remove();
        }
        mViewAgeNanos =
                viewAgeMillis < 0 ? Long.MAX_VALUE : TimeUnit.MILLISECONDS.toNanos(viewAgeMillis);
        if (!registered) {
            mRegisteredSinceNanos = Long.MAX_VALUE;
        } else if (mRegisteredSinceNanos == Long.MAX_VALUE) {
            mRegisteredSinceNanos = nowNanos;
        }
    }

    /** Returns the largest number of entries seen within the hold time, at least 1. */
    int entries() {
        return mSeen.isEmpty() ? 1 : Math.max(1, mSeen.peekFirst().entries());
    }

    /** Returns whether this entry may use its part of what the fleet has in common. */
    boolean isCertain(long nowNanos) {
        return mViewAgeNanos <= MAX_VIEW_AGE_NANOS
                && mRegisteredSinceNanos != Long.MAX_VALUE
                && nowNanos - mRegisteredSinceNanos >= SETTLE_NANOS;
    }
}
