package ebonygw.spillover;

import java.util.concurrent.TimeUnit;

/**
 * The operator's price of traffic between data centres.
 *
 * @param dataCenterNanosPerMegabyte waiting time that a megabyte to another data centre of the
 *     region is worth, not negative
 * @param regionNanosPerMegabyte waiting time that a megabyte to another region is worth, not
 *     negative
 * @param capBytesPerSecond maximum traffic of each pair of data centres, 0 for none
 */
public record SpilloverOptions(
        double dataCenterNanosPerMegabyte,
        double regionNanosPerMegabyte,
        double capBytesPerSecond) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a number is negative or not finite
     */
    public SpilloverOptions {
        for (double number :
                new double[] {
                    dataCenterNanosPerMegabyte, regionNanosPerMegabyte, capBytesPerSecond
                }) {
            if (!(number >= 0 && number < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException(
                        "the price and the cap of traffic must be finite and not negative: "
                                + number);
            }
        }
    }

    /** Creates options from prices in milliseconds of waiting time. */
    public static SpilloverOptions ofMillis(
            double dataCenterMillis, double regionMillis, double capBytesPerSecond) {
        double nanos = TimeUnit.MILLISECONDS.toNanos(1);
        return new SpilloverOptions(
                dataCenterMillis * nanos, regionMillis * nanos, capBytesPerSecond);
    }
}
