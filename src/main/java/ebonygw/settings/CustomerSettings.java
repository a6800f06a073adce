package ebonygw.settings;

/**
 * Effective settings of a customer.
 *
 * @param customer its name
 * @param ratePerSecond rate limit in tokens per second over the whole fleet
 * @param burst maximum number of tokens at once over the whole fleet
 * @param weight its weight in the division of contended capacity, relative to other customers
 * @param retryPercent retries allowed per 100 requests
 */
public record CustomerSettings(
        String customer, long ratePerSecond, long burst, double weight, int retryPercent) {}
