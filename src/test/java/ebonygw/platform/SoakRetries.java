package ebonygw.platform;

import ebonygw.retry.RetryWindows;
import java.util.Map;
import java.util.Optional;
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

    private final Map<String, RetryWindows> mByService = new TreeMap<>();

    /** Records that a caller is about to send a request for a service. */
    synchronized void recordRequest(String service) {
        windows(service).addRequest(System.nanoTime());
    }

    /** Records that a request reaches a replica of a service. */
    synchronized void recordArrival(String service, String id) {
        windows(service).addArrival(id, System.nanoTime());
    }

    /** Returns the service with more retries in some window than the budget allows. */
    synchronized Optional<String> violation() {
        return mByService.entrySet().stream()
                .filter(entry -> entry.getValue().maxUse() > 1)
                .map(
                        entry ->
                                "retries of service "
                                        + entry.getKey()
                                        + " are "
                                        + entry.getValue().maxUse()
                                        + " times those allowed in a window")
                .findFirst();
    }

    private RetryWindows windows(String service) {
        return mByService.computeIfAbsent(
                service, name -> new RetryWindows(RATIO, EXTRA, WINDOW_NANOS));
    }
}
