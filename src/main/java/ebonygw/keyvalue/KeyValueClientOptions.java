package ebonygw.keyvalue;

import java.net.URI;
import java.util.List;

/**
 * Options of a {@link KeyValueClient}.
 *
 * @param endpoints where the service answers, tried in turn; scheme, host and port
 * @param timeoutNanos time limit of a call, waiting for the rate bound included
 * @param callsPerSecond most calls a second; a watch counts as one when it starts
 * @param maxWaiting most calls waiting for the rate bound
 */
public record KeyValueClientOptions(
        List<URI> endpoints, long timeoutNanos, int callsPerSecond, int maxWaiting) {
    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if no endpoint is given or a number is below 1
     */
    public KeyValueClientOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("no endpoint of the key-value service");
        }
        if (timeoutNanos < 1 || callsPerSecond < 1 || maxWaiting < 1) {
            throw new IllegalArgumentException("a bound of the key-value client is below 1");
        }
    }

    /** Returns the usual bounds for the endpoints. */
    public static KeyValueClientOptions of(List<URI> endpoints) {
        return new KeyValueClientOptions(endpoints, 2_000_000_000L, 100, 1000);
    }
}
