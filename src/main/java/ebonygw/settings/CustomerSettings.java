package ebonygw.settings;

/**
 * Effective settings of a customer.
 *
 * @param customer its name
 * @param ratePerSecond tokens a second over the whole fleet
 * @param burst most tokens at once over the whole fleet
 * @param weight its part of contended capacity, relative to other customers' weights
 * @param retryPercent retries allowed for each 100 requests
 */
public record CustomerSettings(
        String customer, long ratePerSecond, long burst, double weight, int retryPercent) {}
