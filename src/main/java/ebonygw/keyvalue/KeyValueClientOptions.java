package ebonygw.keyvalue;

import java.net.URI;
import java.util.List;

/**
 * Options of a {@link KeyValueClient}.
 *
 * @param endpoints base URLs of the servers, with scheme, host and port; tried in turn
 * @param timeoutNanos time limit of a request, including the wait for the rate limit
 * @param requestsPerSecond maximum rate, and maximum burst; a watch counts once, when it starts
 * @param maxWaiting maximum number of requests that wait for the rate limit
 */
public record KeyValueClientOptions(
        List<URI> endpoints, long timeoutNanos, int requestsPerSecond, int maxWaiting) {
    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if no endpoint is given or a number is below 1
     */
    public KeyValueClientOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("no endpoint of the key-value service is given");
        }
        if (timeoutNanos < 1 || requestsPerSecond < 1 || maxWaiting < 1) {
            throw new IllegalArgumentException(
                    "options of the key-value client must be at least 1: timeoutNanos "
                            + timeoutNanos
                            + ", requestsPerSecond "
                            + requestsPerSecond
                            + ", maxWaiting "
                            + maxWaiting);
        }
    }

    /** Returns the default options: 2 s time limit, 100 requests a second, 1,000 waiting. */
    public static KeyValueClientOptions of(List<URI> endpoints) {
        return new KeyValueClientOptions(endpoints, 2_000_000_000L, 100, 1000);
    }
}
