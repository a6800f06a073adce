package ebonygw.keyvalue;

/**
 * Issues the ids of requests to the key-value service.
 *
 * <p>The upper 16 bits of an id hold the number of its owner, so that several components of one
 * process can each recognise the responses to their own requests. Not thread-safe.
 */
public final class KeyValueRequestIds {
    private static final int OWNER_SHIFT_BITS = 48;

    private final long mOwner;
    private long mNext;

    /**
     * Creates an issuer of ids for one owner.
     *
     * @param owner number of the owner, 1 to 32767, unique within the process
     * @throws IllegalArgumentException if {@code owner} is out of range
     */
    public KeyValueRequestIds(int owner) {
        if (owner < 1 || owner > Short.MAX_VALUE) {
            throw new IllegalArgumentException(
                    "owner must be from 1 to " + Short.MAX_VALUE + ": " + owner);
        }
        mOwner = owner;
    }

    /** Returns whether a request id was issued for this owner. */
    public boolean issued(long requestId) {
        return requestId >>> OWNER_SHIFT_BITS == mOwner;
    }

    /** Returns a new id, unique within the process. */
    public long next() {
        mNext++;
        return (mOwner << OWNER_SHIFT_BITS) | mNext;
    }
}
