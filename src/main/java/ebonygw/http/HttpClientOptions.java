package ebonygw.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Options of an {@link HttpClient}.
 *
 * @param server address of the server
 * @param maxConnections maximum number of open connections, positive
 * @param maxWaiting maximum number of requests that wait for a connection, not negative
 * @param connectTimeoutNanos time limit for opening a connection, in nanoseconds, positive
 * @param acceptsUnframed whether a response that has neither a content length nor a transfer
 *     encoding counts as complete when the server closes the connection
 * @param requestIdField name of the header field with the id of a request, in lower case, which the
 *     server repeats in its response; empty if it repeats none
 */
public record HttpClientOptions(
        InetSocketAddress server,
        int maxConnections,
        int maxWaiting,
        long connectTimeoutNanos,
        boolean acceptsUnframed,
        String requestIdField) {
    private static final int DEFAULT_MAX_CONNECTIONS = 256;
    private static final int DEFAULT_MAX_WAITING = 4096;
    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code server} or {@code requestIdField} is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public HttpClientOptions {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(requestIdField, "requestIdField");
        if (maxConnections < 1 || maxWaiting < 0 || connectTimeoutNanos < 1) {
            throw new IllegalArgumentException(
                    "maxConnections and connectTimeoutNanos must be positive, maxWaiting not"
                            + " negative: "
                            + maxConnections
                            + ", "
                            + connectTimeoutNanos
                            + ", "
                            + maxWaiting);
        }
    }

    /** Creates options for a server that does not repeat the ids of requests. */
    public HttpClientOptions(
            InetSocketAddress server,
            int maxConnections,
            int maxWaiting,
            long connectTimeoutNanos,
            boolean acceptsUnframed) {
        this(server, maxConnections, maxWaiting, connectTimeoutNanos, acceptsUnframed, "");
    }

    /** Creates options of a client that accepts only responses whose end is explicit. */
    public HttpClientOptions(
            InetSocketAddress server,
            int maxConnections,
            int maxWaiting,
            long connectTimeoutNanos) {
        this(server, maxConnections, maxWaiting, connectTimeoutNanos, false);
    }

    /** Returns options with the default limits. */
    public static HttpClientOptions of(InetSocketAddress server) {
        return new HttpClientOptions(
                server,
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_MAX_WAITING,
                DEFAULT_CONNECT_TIMEOUT_NANOS);
    }
}
