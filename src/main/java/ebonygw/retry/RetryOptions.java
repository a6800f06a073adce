package ebonygw.retry;

/**
 * Bounds of a {@link RetryPolicy}.
 *
 * @param maxAttempts maximum number of attempts of one request, positive
 * @param targetRetryPercent retries deposited in a target's budget for each 100 requests sent to it
 * @param maxBalance maximum balance of the budget of a customer or target
 * @param minRetriesPerSecond retries per second that a budget receives without any requests
 * @param minRemainingNanos minimum time left before the deadline for another attempt
 * @param maxRemembered maximum number of customers and maximum number of targets with a budget; the
 *     least recently used is removed
 */
public record RetryOptions(
        int maxAttempts,
        int targetRetryPercent,
        double maxBalance,
        double minRetriesPerSecond,
        long minRemainingNanos,
        int maxRemembered) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if {@code maxAttempts} is not positive
     */
    public RetryOptions {
        if (maxAttempts <= 0) {
            throw new IllegalArgumentException("maxAttempts must be positive: " + maxAttempts);
        }
    }

    /** Returns the options for production. */
    public static RetryOptions defaults() {
        return new RetryOptions(4, 20, 10, 0.2, 50_000_000L, 16_384);
    }
}
