package ebonygw.standin;

import java.util.Objects;

/**
 * Options of a simulated engine.
 *
 * @param address IP address to listen on
 * @param port port to listen on, 0 for any free one
 * @param slots number of adapter slots, at least 1
 * @param maxBatch maximum number of requests that run at once, at least 1
 * @param tokensPerSecond tokens per second of each running request, 0 to generate without delay
 * @param maxResponseTokens maximum number of tokens of a response, at least 1
 * @param reportLagNanos interval at which load reports are renewed, in nanoseconds, 0 for always
 *     current ones; the request that renews a report still gets the previous one
 * @param restartNanos duration of a restart, in nanoseconds
 * @param fencingEnforced whether orders with an old fencing token are refused
 * @param recording whether received requests are recorded for inspection
 */
public record EngineStandInOptions(
        String address,
        int port,
        int slots,
        int maxBatch,
        int tokensPerSecond,
        int maxResponseTokens,
        long reportLagNanos,
        long restartNanos,
        boolean fencingEnforced,
        boolean recording) {
    private static final int SLOTS = 8;
    private static final int MAX_BATCH = 16;
    private static final int TOKENS_PER_SECOND = 200;
    private static final int MAX_RESPONSE_TOKENS = 64;
    private static final long REPORT_LAG_NANOS = 200_000_000L;
    private static final long RESTART_NANOS = 500_000_000L;

    /**
     * Validates the options.
     *
     * @throws NullPointerException if {@code address} is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public EngineStandInOptions {
        Objects.requireNonNull(address, "address");
        if (slots < 1 || maxBatch < 1 || tokensPerSecond < 0 || maxResponseTokens < 1) {
            throw new IllegalArgumentException(
                    "slots, maxBatch and maxResponseTokens must be at least 1 and tokensPerSecond"
                            + " at least 0, but slots="
                            + slots
                            + ", maxBatch="
                            + maxBatch
                            + ", maxResponseTokens="
                            + maxResponseTokens
                            + ", tokensPerSecond="
                            + tokensPerSecond);
        }
        if (reportLagNanos < 0 || restartNanos < 0) {
            throw new IllegalArgumentException(
                    "reportLagNanos and restartNanos must not be negative, but reportLagNanos="
                            + reportLagNanos
                            + ", restartNanos="
                            + restartNanos);
        }
    }

    /** Returns default options with any free port of the loopback address. */
    public static EngineStandInOptions local() {
        return new EngineStandInOptions(
                "127.0.0.1",
                0,
                SLOTS,
                MAX_BATCH,
                TOKENS_PER_SECOND,
                MAX_RESPONSE_TOKENS,
                REPORT_LAG_NANOS,
                RESTART_NANOS,
                true,
                true);
    }

    /** Returns the same options with the given capacity. */
    public EngineStandInOptions withCapacity(int newSlots, int newMaxBatch) {
        return new EngineStandInOptions(
                address,
                port,
                newSlots,
                newMaxBatch,
                tokensPerSecond,
                maxResponseTokens,
                reportLagNanos,
                restartNanos,
                fencingEnforced,
                recording);
    }

    /** Returns the same options with fencing tokens enforced or ignored. */
    public EngineStandInOptions withFencingEnforced(boolean enforced) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                maxResponseTokens,
                reportLagNanos,
                restartNanos,
                enforced,
                recording);
    }

    /** Returns the same options with recording of requests on or off. */
    public EngineStandInOptions withRecording(boolean on) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                maxResponseTokens,
                reportLagNanos,
                restartNanos,
                fencingEnforced,
                on);
    }

    /** Returns the same options with the given token rate and response length. */
    public EngineStandInOptions withSpeed(int newTokensPerSecond, int newMaxResponseTokens) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                newTokensPerSecond,
                newMaxResponseTokens,
                reportLagNanos,
                restartNanos,
                fencingEnforced,
                recording);
    }

    /** Returns the same options with the given report delay and restart duration. */
    public EngineStandInOptions withTimes(long newReportLagNanos, long newRestartNanos) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                maxResponseTokens,
                newReportLagNanos,
                newRestartNanos,
                fencingEnforced,
                recording);
    }
}
