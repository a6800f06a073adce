package ebonygw.scheduling;

/**
 * Bounds and time constants of a {@link TargetScheduler}.
 *
 * @param maxQueued maximum number of work items in the queue
 * @param initialConcurrency concurrency before the first report or response of the target
 * @param maxConcurrency maximum concurrency, regardless of what the target reports
 * @param maxLoadsInFlight maximum number of concurrent loads and unloads at this target
 * @param maxLoadAttempts consecutive failed loads after which the waiting work is refused
 * @param loadBackoffNanos backoff after the first failed load, doubled after each further one
 * @param loadRetryAfterNanos how long work on an adapter is refused at once after the last failed
 *     attempt
 * @param expectedLoadNanos duration of a load until one is measured
 * @param popularityHalfLifeNanos time after which a use counts half for eviction
 * @param maxRemembered maximum number of adapter versions whose request rate is remembered
 * @param coldStartNanos how long an engine counts as cold after its start; not used by the
 *     scheduler
 */
public record SchedulerOptions(
        int maxQueued,
        int initialConcurrency,
        int maxConcurrency,
        int maxLoadsInFlight,
        int maxLoadAttempts,
        long loadBackoffNanos,
        long loadRetryAfterNanos,
        long expectedLoadNanos,
        long popularityHalfLifeNanos,
        int maxRemembered,
        long coldStartNanos) {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;

    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a bound is not positive or {@code maxConcurrency} is
     *     below {@code initialConcurrency}
     */
    public SchedulerOptions {
        if (maxQueued <= 0 || initialConcurrency <= 0 || maxConcurrency < initialConcurrency) {
            throw new IllegalArgumentException(
                    "maxQueued, initialConcurrency and maxConcurrency must be positive, and"
                            + " maxConcurrency not below initialConcurrency: "
                            + maxQueued
                            + ", "
                            + initialConcurrency
                            + ", "
                            + maxConcurrency);
        }
        if (maxLoadsInFlight <= 0 || maxLoadAttempts <= 0 || maxRemembered <= 0) {
            throw new IllegalArgumentException(
                    "maxLoadsInFlight, maxLoadAttempts and maxRemembered must be positive: "
                            + maxLoadsInFlight
                            + ", "
                            + maxLoadAttempts
                            + ", "
                            + maxRemembered);
        }
    }

    /** Returns the options for production. */
    public static SchedulerOptions defaults() {
        return new SchedulerOptions(
                1024,
                4,
                1024,
                4,
                3,
                500 * MILLISECOND_NANOS,
                10 * SECOND_NANOS,
                250 * MILLISECOND_NANOS,
                240 * SECOND_NANOS,
                8192,
                10 * SECOND_NANOS);
    }
}
