package ebonygw.target;

import ebonygw.http.HttpClientOptions;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Options of a client of a target.
 *
 * @param calls address of the target and bounds of its connections
 * @param reportIntervalNanos time between two load reports, in nanoseconds
 * @param reportTimeoutNanos time limit of reading a load report, in nanoseconds
 * @param orderTimeoutNanos time limit of an order to load or unload, in nanoseconds
 * @param adapterPath where the engine finds an adapter: prefix of {@code adapter@version}
 */
public record TargetClientOptions(
        HttpClientOptions calls,
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
        Objects.requireNonNull(calls, "calls");
        Objects.requireNonNull(adapterPath, "adapterPath");
        if (reportIntervalNanos < 1 || reportTimeoutNanos < 1 || orderTimeoutNanos < 1) {
            throw new IllegalArgumentException("times of the target client must be positive");
        }
    }

    /** Returns options with usual bounds. */
    public static TargetClientOptions of(InetSocketAddress target) {
        return new TargetClientOptions(
                HttpClientOptions.of(target),
                REPORT_INTERVAL_NANOS,
                REPORT_TIMEOUT_NANOS,
                ORDER_TIMEOUT_NANOS,
                ADAPTER_PATH);
    }

    /** Returns the same options with another interval of load reports. */
    public TargetClientOptions withReportInterval(long nanos) {
        return new TargetClientOptions(
                calls, nanos, reportTimeoutNanos, orderTimeoutNanos, adapterPath);
    }
}
