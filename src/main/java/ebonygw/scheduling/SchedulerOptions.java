package ebonygw.scheduling;

/**
 * Bounds and time constants of a {@link TargetScheduler}.
 *
 * @param maxQueued most works in the queue
 * @param initialConcurrency concurrency before the target has reported or answered anything
 * @param maxConcurrency most concurrency, whatever the target reports
 * @param maxLoadsInFlight most loads at once at this target
 * @param maxLoadAttempts failed loads in a row after which the waiting work is refused
 * @param loadBackoffNanos wait after the first failed load, doubled after each further one
 * @param loadRetryAfterNanos how long an adapter that used up its attempts is refused at once
 * @param expectedLoadNanos duration of a load before any was measured
 * @param popularityHalfLifeNanos after how long a use counts half for eviction
 * @param maxRemembered most adapter versions whose popularity is remembered
 * @param coldStartNanos how long an engine is taken to be cold after its start
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
     * @throws IllegalArgumentException if a bound is not positive
     */
    public SchedulerOptions {
        if (maxQueued <= 0 || initialConcurrency <= 0 || maxConcurrency < initialConcurrency) {
            throw new IllegalArgumentException("queue and concurrency must be positive");
        }
        if (maxLoadsInFlight <= 0 || maxLoadAttempts <= 0 || maxRemembered <= 0) {
            throw new IllegalArgumentException("loads and memory must be positive");
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
