package ebonygw.retry;

/**
 * Bounds of a {@link RetryPolicy}.
 *
 * @param maxAttempts most attempts of one request
 * @param targetPercent retries allowed for each 100 requests sent to a target
 * @param maxSaved most retries that a customer or target can save up
 * @param leastPerSecond retries a second that are allowed in any case
 * @param leastRemainingNanos least time left for another attempt
 * @param maxRemembered most customers and targets with an account
 */
public record RetryOptions(
        int maxAttempts,
        int targetPercent,
        double maxSaved,
        double leastPerSecond,
        long leastRemainingNanos,
        int maxRemembered) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if {@code maxAttempts} is not positive
     */
    public RetryOptions {
        if (maxAttempts <= 0) {
            throw new IllegalArgumentException("maxAttempts must be positive");
        }
    }

    /** Returns the options for production. */
    public static RetryOptions defaults() {
        return new RetryOptions(4, 20, 10, 0.2, 50_000_000L, 16_384);
    }
}
