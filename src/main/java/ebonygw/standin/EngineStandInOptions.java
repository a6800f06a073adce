package ebonygw.standin;

import java.util.Objects;

/**
 * Options of an engine.
 *
 * @param address IP number to listen on
 * @param port port to listen on, 0 for a free one
 * @param slots adapter slots
 * @param maxBatch most requests that run together
 * @param tokensPerSecond tokens a second for each running request, 0 for no delay
 * @param answerTokens most tokens of an answer
 * @param reportLagNanos age of the state that a load report shows, in nanoseconds
 * @param restartNanos how long a restart takes, in nanoseconds
 * @param fencingObeyed whether orders with an old fencing token are refused
 * @param recording whether requests are kept for inspection
 */
public record EngineStandInOptions(
        String address,
        int port,
        int slots,
        int maxBatch,
        int tokensPerSecond,
        int answerTokens,
        long reportLagNanos,
        long restartNanos,
        boolean fencingObeyed,
        boolean recording) {
    private static final int SLOTS = 8;
    private static final int MAX_BATCH = 16;
    private static final int TOKENS_PER_SECOND = 200;
    private static final int ANSWER_TOKENS = 64;
    private static final long REPORT_LAG_NANOS = 200_000_000L;
    private static final long RESTART_NANOS = 500_000_000L;

    /**
     * Creates options.
     *
     * @throws NullPointerException if {@code address} is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public EngineStandInOptions {
        Objects.requireNonNull(address, "address");
        if (slots < 1 || maxBatch < 1 || tokensPerSecond < 0 || answerTokens < 1) {
            throw new IllegalArgumentException("bounds of the engine must be positive");
        }
        if (reportLagNanos < 0 || restartNanos < 0) {
            throw new IllegalArgumentException("times of the engine must not be negative");
        }
    }

    /** Returns usual options on a free port of the loopback address. */
    public static EngineStandInOptions local() {
        return new EngineStandInOptions(
                "127.0.0.1",
                0,
                SLOTS,
                MAX_BATCH,
                TOKENS_PER_SECOND,
                ANSWER_TOKENS,
                REPORT_LAG_NANOS,
                RESTART_NANOS,
                true,
                true);
    }

    /** Returns the same options with other capacity. */
    public EngineStandInOptions withCapacity(int otherSlots, int otherMaxBatch) {
        return new EngineStandInOptions(
                address,
                port,
                otherSlots,
                otherMaxBatch,
                tokensPerSecond,
                answerTokens,
                reportLagNanos,
                restartNanos,
                fencingObeyed,
                recording);
    }

    /** Returns the same options with obedience to fencing tokens or without. */
    public EngineStandInOptions withFencingObeyed(boolean obeyed) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                answerTokens,
                reportLagNanos,
                restartNanos,
                obeyed,
                recording);
    }

    /** Returns the same options with or without keeping requests. */
    public EngineStandInOptions withRecording(boolean on) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                answerTokens,
                reportLagNanos,
                restartNanos,
                fencingObeyed,
                on);
    }

    /** Returns the same options with other speed and answer length. */
    public EngineStandInOptions withSpeed(int otherTokensPerSecond, int otherAnswerTokens) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                otherTokensPerSecond,
                otherAnswerTokens,
                reportLagNanos,
                restartNanos,
                fencingObeyed,
                recording);
    }

    /** Returns the same options with other times. */
    public EngineStandInOptions withTimes(long otherReportLagNanos, long otherRestartNanos) {
        return new EngineStandInOptions(
                address,
                port,
                slots,
                maxBatch,
                tokensPerSecond,
                answerTokens,
                otherReportLagNanos,
                otherRestartNanos,
                fencingObeyed,
                recording);
    }
}
