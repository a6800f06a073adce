package ebonygw.targetlimit;

/**
 * Bound on the requests that a cold target gets in any second, summed over all entries: {@code
 * perSecond * overage + tolerance}, where {@code perSecond} is that of its service.
 *
 * @param overage factor of the rate of the service, finite and not negative
 * @param tolerance additional requests, finite and not negative
 */
public record ColdOptions(double overage, double tolerance) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public ColdOptions {
        if (!Double.isFinite(overage) || overage < 0) {
            throw new IllegalArgumentException("overage must not be negative: " + overage);
        }
        if (!Double.isFinite(tolerance) || tolerance < 0) {
            throw new IllegalArgumentException("tolerance must not be negative: " + tolerance);
        }
    }

    /** Returns the number of requests that a target may get in any second, 0 for no limit. */
    double perSecond(ColdLimit limit) {
        return limit.isSet() ? limit.perSecond() * overage + tolerance : 0;
    }
}
