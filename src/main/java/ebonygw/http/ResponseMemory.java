package ebonygw.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all responses that are being parsed, and counts those given up and those
 * that are not proved to belong to their request.
 *
 * <p>Each response may hold a few unparsed bytes without a reservation, which is more than the head
 * of an ordinary response, so that long heads of one server do not affect the responses of others.
 * Thread-safe.
 */
public final class ResponseMemory {
    /** Unparsed bytes of a response that need no reservation. */
    static final int UNRESERVED_BYTES = 4 * 1024;

    /** Maximum number of reserved bytes of a process: a twentieth of the smallest heap. */
    private static final long MAX_RESERVED_BYTES = 8L << 20;

    private static final ResponseMemory PROCESS = new ResponseMemory(MAX_RESERVED_BYTES);

    private final long mMaxReservedBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();
    private final AtomicLong mGivenUp = new AtomicLong();
    private final AtomicLong mUnproved = new AtomicLong();

    /**
     * Creates a budget of its own, for tests.
     *
     * @param maxReservedBytes maximum number of bytes that all responses may reserve
     */
    ResponseMemory(long maxReservedBytes) {
        mMaxReservedBytes = maxReservedBytes;
    }

    /** Returns the budget of this process. */
    public static ResponseMemory ofProcess() {
        return PROCESS;
    }

    /** Returns how many responses were given up because they exceeded a limit. */
    public long givenUp() {
        return mGivenUp.get();
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }

    /** Returns how many responses did not belong to the request in progress by their id. */
    public long unproved() {
        return mUnproved.get();
    }

    void countGivenUp() {
        mGivenUp.incrementAndGet();
    }

    void countUnproved() {
        mUnproved.incrementAndGet();
    }

    /**
     * Changes the reservation of a response to what its unparsed bytes require.
     *
     * @param reserved bytes reserved for the response so far
     * @param unparsedBytes number of its unparsed bytes
     * @return bytes reserved for the response from now on, or -1 if the budget is exhausted, which
     *     leaves the reservation as it was
     */
    long reserve(long reserved, long unparsedBytes) {
        long needed = Math.max(0, unparsedBytes - UNRESERVED_BYTES);
        long change = needed - reserved;
        if (mReservedBytes.addAndGet(change) > mMaxReservedBytes && change > 0) {
            mReservedBytes.addAndGet(-change);
            return -1;
        }
        return needed;
    }

    void release(long reserved) {
        mReservedBytes.addAndGet(-reserved);
    }
}
