package ebonygw.target;

import ebonygw.http.HttpClientOptions;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Options of a {@link TargetClient}.
 *
 * @param http address of the target and limits of the connections to it
 * @param reportIntervalNanos time from the end of one load report request to the next, at least 1
 * @param reportTimeoutNanos time limit of a load report request, at least 1
 * @param orderTimeoutNanos time limit of an order to load or unload, at least 1
 * @param adapterPath path prefix under which the engine finds an adapter as {@code adapter@version}
 */
public record TargetClientOptions(
        HttpClientOptions http,
        long reportIntervalNanos,
        long reportTimeoutNanos,
        long orderTimeoutNanos,
        String adapterPath) {
    private static final long REPORT_INTERVAL_NANOS = 250_000_000L;
    private static final long REPORT_TIMEOUT_NANOS = 1_000_000_000L;
    private static final long ORDER_TIMEOUT_NANOS = 10_000_000_000L;
    private static final String ADAPTER_PATH = "adapters/";

    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a time is not positive
     */
    public TargetClientOptions {
        Objects.requireNonNull(http, "calls");
        Objects.requireNonNull(adapterPath, "adapterPath");
        if (reportIntervalNanos < 1 || reportTimeoutNanos < 1 || orderTimeoutNanos < 1) {
            throw new IllegalArgumentException(
                    "must be at least 1: reportIntervalNanos "
                            + reportIntervalNanos
                            + ", reportTimeoutNanos "
                            + reportTimeoutNanos
                            + ", orderTimeoutNanos "
                            + orderTimeoutNanos);
        }
    }

    /** Returns the default options for the target at an address. */
    public static TargetClientOptions of(InetSocketAddress target) {
        return new TargetClientOptions(
                HttpClientOptions.of(target),
                REPORT_INTERVAL_NANOS,
                REPORT_TIMEOUT_NANOS,
                ORDER_TIMEOUT_NANOS,
                ADAPTER_PATH);
    }

    /** Returns a copy with another interval between load reports. */
    public TargetClientOptions withReportInterval(long nanos) {
        return new TargetClientOptions(
                http, nanos, reportTimeoutNanos, orderTimeoutNanos, adapterPath);
    }
}
