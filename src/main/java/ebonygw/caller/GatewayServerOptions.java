package ebonygw.caller;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link GatewayServer}.
 *
 * @param callers address to listen on for callers
 * @param readiness address to listen on for the load balancer's readiness checks
 * @param readinessPath path of the readiness check
 * @param maxExchanges maximum number of open requests
 * @param maxBodyBytes maximum length of a request body
 * @param bodyTimeoutNanos time limit for receiving a complete request body, in nanoseconds
 * @param writeTimeoutNanos maximum time in which the caller reads no byte of a pending response, in
 *     nanoseconds
 */
public record GatewayServerOptions(
        InetSocketAddress callers,
        InetSocketAddress readiness,
        String readinessPath,
        int maxExchanges,
        int maxBodyBytes,
        long bodyTimeoutNanos,
        long writeTimeoutNanos) {
    private static final int MAX_EXCHANGES = 2_000;
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final long BODY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     */
    public GatewayServerOptions {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(readinessPath, "readinessPath");
    }

    /** Returns options with the default limits. */
    public static GatewayServerOptions of(
            InetSocketAddress callers, InetSocketAddress readiness, String readinessPath) {
        return new GatewayServerOptions(
                callers,
                readiness,
                readinessPath,
                MAX_EXCHANGES,
                MAX_BODY_BYTES,
                BODY_TIMEOUT_NANOS,
                WRITE_TIMEOUT_NANOS);
    }
}
