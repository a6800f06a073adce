package ebonygw.keyvalue;

/**
 * Issues identifiers of key-value calls, so that several deciding classes share one process.
 *
 * <p>Not thread-safe.
 */
public final class CallIds {
    private static final int OWNER_SHIFT_BITS = 48;

    private final long mOwner;
    private long mNext;

    /**
     * Creates a source for one owner.
     *
     * @param owner number of the owner, 1 to 32767, unique within the process
     * @throws IllegalArgumentException if {@code owner} is out of its bounds
     */
    public CallIds(int owner) {
        if (owner < 1 || owner > Short.MAX_VALUE) {
            throw new IllegalArgumentException("owner out of bounds: " + owner);
        }
        mOwner = owner;
    }

    /** Returns whether a call identifier was issued for this owner. */
    public boolean issued(long callId) {
        return callId >>> OWNER_SHIFT_BITS == mOwner;
    }

    /** Returns a new identifier. */
    public long next() {
        mNext++;
        return (mOwner << OWNER_SHIFT_BITS) | mNext;
    }
}
