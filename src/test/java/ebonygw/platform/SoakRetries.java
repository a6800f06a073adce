package ebonygw.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Counts the requests of callers and their arrivals at replicas, by service, and checks the fleet's
 * retry budget.
 *
 * <p>Thread-safe.
 */
final class SoakRetries {
    static final double RATIO = 0.1;
    static final int EXTRA = 20;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Service> mServices = new TreeMap<>();

    private static final class Service {
        private final List<Long> mRequests = new ArrayList<>();
        private final List<Long> mRetries = new ArrayList<>();
        private final Set<String> mArrived = new HashSet<>();
    }

    synchronized void recordRequest(String service, long nowNanos) {
        service(service).mRequests.add(nowNanos);
    }

    synchronized void recordArrival(String service, String id, long nowNanos) {
        if (!service(service).mArrived.add(id)) {
            service(service).mRetries.add(nowNanos);
        }
    }

    /**
     * Returns the first window with more retries than the budget allows, by the requests of that
     * window or of those that end half a window and a window before.
     */
    synchronized Optional<String> violation() {
        for (Map.Entry<String, Service> entry : mServices.entrySet()) {
            List<Long> retries = entry.getValue().mRetries;
            List<Long> requests = entry.getValue().mRequests;
            for (int last = 0; last < retries.size(); last++) {
                long endNanos = retries.get(last) + 1;
                long granted =
                        Math.max(
                                count(requests, endNanos),
                                Math.max(
                                        count(requests, endNanos - WINDOW_NANOS / 2),
                                        count(requests, endNanos - WINDOW_NANOS)));
                long retried = count(retries, endNanos);
                if (retried > RATIO * granted + EXTRA) {
                    return Optional.of(
                            retried
                                    + " retries for "
                                    + granted
                                    + " requests of service "
                                    + entry.getKey());
                }
            }
        }
        return Optional.empty();
    }

    /** Returns how many times lie in the window that ends at a time; they are in order. */
    private static long count(List<Long> times, long endNanos) {
        return firstFrom(times, endNanos) - firstFrom(times, endNanos - WINDOW_NANOS);
    }

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

    private Service service(String name) {
        return mServices.computeIfAbsent(name, n -> new Service());
    }
}
