package ebonygw.caller;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link GatewayServer}.
 *
 * @param callers where it listens for callers
 * @param readiness where it listens for the balancer's question
 * @param readinessPath path of that question
 * @param maxExchanges most requests open at once
 * @param maxBodyBytes longest body of a request
 * @param bodyTimeoutNanos longest time to read a body
 * @param writeTimeoutNanos longest time that a caller may take nothing of its answer
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

    /** Creates options. */
    public GatewayServerOptions {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(readinessPath, "readinessPath");
    }

    /** Returns options with usual bounds. */
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
