package ebonygw.overload;

import java.util.concurrent.TimeUnit;

/**
 * Number of requests that an entry has outstanding at one plain target, adapted by the waiting time
 * of its responses and by rejections.
 *
 * <p>Several entries share a target without a coordinator: each adds one request per window of
 * responses while its window is full, and reduces it by a factor when waits grow, so that their
 * windows converge. Not thread-safe.
 */
final class ConcurrencyWindow {
    /** Maximum window for each request slot: a plain target runs 6 requests and queues 24. */
    private static final int MAX_PER_SLOT = 5;

    /**
     * Fraction of the objective that a request may wait at the target before the window shrinks.
     */
    private static final double MAX_WAIT_FRACTION = 0.25;

    private static final double WAIT_FACTOR = 0.8;
    private static final double REJECTION_FACTOR = 0.5;

    /** Minimum time between reductions: one shows in the responses after about this time. */
    private static final long REDUCTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Growth of the shortest response time with each response, so that it follows a slower host.
     */
    private static final double SHORTEST_GROWTH = 1.01;

    private final int mSlots;
    private double mWindow;
    private double mShortestNanos = Double.MAX_VALUE;
    private long mReducedNanos = Long.MIN_VALUE;

    /** Creates a window as large as the number of request slots of the target. */
    ConcurrencyWindow(int slots) {
        mSlots = slots;
        mWindow = slots;
    }

    /**
     * Returns whether one more request may be sent. The reported load counts only while a response
     * is outstanding that will update it; otherwise one outdated report would stop all requests.
     */
    boolean hasRoom(int outstanding, int load) {
        return outstanding == 0 || outstanding < size() && load < mSlots * MAX_PER_SLOT;
    }

    /** Handles the rejection of a request because the target's queue is full. */
    void onRejected(long nowNanos) {
        reduce(REJECTION_FACTOR, nowNanos);
    }

    /**
     * Handles a complete response.
     *
     * @param nanos time since the request was sent
     * @param objectiveNanos latency objective of the request
     * @param outstanding requests outstanding at the target, including this one
     */
    void onResponse(long nanos, long objectiveNanos, int outstanding, long nowNanos) {
        mShortestNanos = Math.min(mShortestNanos * SHORTEST_GROWTH, nanos);
        if (nanos - mShortestNanos > objectiveNanos * MAX_WAIT_FRACTION) {
            reduce(WAIT_FACTOR, nowNanos);
        } else if (outstanding >= size()) {
            mWindow = Math.min(mSlots * MAX_PER_SLOT, mWindow + 1 / mWindow);
        }
    }

    /** Returns the window, at least 1. */
    int size() {
        return Math.max(1, (int) mWindow);
    }

    private void reduce(double factor, long nowNanos) {
        if (mReducedNanos == Long.MIN_VALUE
                || nowNanos - mReducedNanos >= REDUCTION_INTERVAL_NANOS) {
            mReducedNanos = nowNanos;
            mWindow = Math.max(1, mWindow * factor);
        }
    }
}
