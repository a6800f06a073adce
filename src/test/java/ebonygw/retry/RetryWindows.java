package ebonygw.retry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Counts requests and retries of a fleet and compares them with what it may make in any window.
 *
 * <p>Not thread-safe.
 */
public final class RetryWindows {
    private final double mRatio;
    private final int mExtra;
    private final long mWindowNanos;
    private final List<Long> mRequests = new ArrayList<>();
    private final List<Long> mRetries = new ArrayList<>();
    private final Set<String> mArrived = new HashSet<>();

    /**
     * Creates a count.
     *
     * @param ratio retries allowed for each request
     * @param extra further retries allowed in each window
     */
    public RetryWindows(double ratio, int extra, long windowNanos) {
        mRatio = ratio;
        mExtra = extra;
        mWindowNanos = windowNanos;
    }

    /** Records the arrival of a request at a target; all but its first are retries. */
    public void addArrival(String request, long nowNanos) {
        if (!mArrived.add(request)) {
            mRetries.add(nowNanos);
        }
    }

    /** Records a request; times must not decrease. */
    public void addRequest(long nowNanos) {
        mRequests.add(nowNanos);
    }

    /**
     * Returns the maximum, over all windows, of the retries in a window divided by those allowed in
     * it: the extra ones, and the ratio of its requests or of those of the window that ends half a
     * window or a window before, whichever has most.
     */
    public double maxUse() {
        double max = 0;
        for (long lastNanos : mRetries) {
            long endNanos = lastNanos + 1;
            long requests =
                    Math.max(
                            count(mRequests, endNanos),
                            Math.max(
                                    count(mRequests, endNanos - mWindowNanos / 2),
                                    count(mRequests, endNanos - mWindowNanos)));
            max = Math.max(max, count(mRetries, endNanos) / (mRatio * requests + mExtra));
        }
        return max;
    }

    private long count(List<Long> times, long endNanos) {
        return firstFrom(times, endNanos) - firstFrom(times, endNanos - mWindowNanos);
    }

    /** Returns the index of the first of some times, which are in order, not before a time. */
    private static int firstFrom(List<Long> times, long nanos) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (times.get(middle) - nanos < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
