package ebonygw.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Options of a client.
 *
 * @param server address of the server
 * @param maxConnections most connections open at once, positive
 * @param maxWaiting most calls that wait for a connection, not negative
 * @param connectTimeoutNanos time limit of opening a connection, in nanoseconds
 * @param takesUnframed whether an answer without a length that ends with its connection is whole
 */
public record HttpClientOptions(
        InetSocketAddress server,
        int maxConnections,
        int maxWaiting,
        long connectTimeoutNanos,
        boolean takesUnframed) {
    private static final int DEFAULT_CONNECTIONS = 256;
    private static final int DEFAULT_WAITING = 4096;
    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code server} is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public HttpClientOptions {
        Objects.requireNonNull(server, "server");
        if (maxConnections < 1 || maxWaiting < 0 || connectTimeoutNanos < 1) {
            throw new IllegalArgumentException("bounds of the HTTP client must be positive");
        }
    }

    /** Creates options of a client that takes framed answers only. */
    public HttpClientOptions(
            InetSocketAddress server,
            int maxConnections,
            int maxWaiting,
            long connectTimeoutNanos) {
        this(server, maxConnections, maxWaiting, connectTimeoutNanos, false);
    }

    /** Returns options for a server with usual bounds. */
    public static HttpClientOptions of(InetSocketAddress server) {
        return new HttpClientOptions(
                server, DEFAULT_CONNECTIONS, DEFAULT_WAITING, DEFAULT_CONNECT_TIMEOUT_NANOS);
    }
}
