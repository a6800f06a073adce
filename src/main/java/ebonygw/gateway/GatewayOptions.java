package ebonygw.gateway;

import ebonygw.membership.Member;
import java.util.Objects;

/**
 * Options of a {@link GatewayNode}.
 *
 * @param self this process, with the address of its peer listener
 * @param reader reads the values that operators and targets write to the key-value service
 * @param loaderPort port at which the loader beside a replica accepts connections, at least 1
 * @param quotaToleranceTokens tokens by which all entries together may exceed a customer's quota
 * @param quotaOverage fraction by which a customer's rate and burst may be exceeded
 * @param retryRatio retries allowed for each request of a service, not negative
 * @param retryExtra additional retries allowed in each window, over all entries, not negative
 * @param retryWindowNanos length of that window, positive
 * @param acceptNanos how long new requests are accepted after a stop was requested, not negative
 * @param graceNanos maximum duration of a graceful stop, at least {@code acceptNanos}
 * @param maxSettingsAgeNanos time after the key-value service last confirmed the configuration in
 *     which it still decides that a route or key does not exist, positive
 * @param seed seed of random decisions
 * @param loadShedding whether requests are queued, shed and admitted by measured capacity
 */
public record GatewayOptions(
        Member self,
        StoreReader reader,
        int loaderPort,
        double quotaToleranceTokens,
        double quotaOverage,
        double retryRatio,
        double retryExtra,
        long retryWindowNanos,
        long acceptNanos,
        long graceNanos,
        long maxSettingsAgeNanos,
        long seed,
        boolean loadShedding) {
    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public GatewayOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(reader, "reader");
        if (loaderPort < 1 || retryRatio < 0 || retryExtra < 0 || retryWindowNanos <= 0) {
            throw new IllegalArgumentException(
                    "loaderPort must be at least 1, retryRatio and retryExtra not negative,"
                            + " retryWindowNanos positive: "
                            + loaderPort
                            + ", "
                            + retryRatio
                            + ", "
                            + retryExtra
                            + ", "
                            + retryWindowNanos);
        }
        if (maxSettingsAgeNanos <= 0) {
            throw new IllegalArgumentException(
                    "maxSettingsAgeNanos must be positive: " + maxSettingsAgeNanos);
        }
        if (acceptNanos < 0 || graceNanos < acceptNanos) {
            throw new IllegalArgumentException(
                    "acceptNanos must be between 0 and graceNanos "
                            + graceNanos
                            + ": "
                            + acceptNanos);
        }
    }

    /** Creates options without load shedding; see the canonical constructor. */
    public GatewayOptions(
            Member self,
            StoreReader reader,
            int loaderPort,
            double quotaToleranceTokens,
            double quotaOverage,
            double retryRatio,
            double retryExtra,
            long retryWindowNanos,
            long acceptNanos,
            long graceNanos,
            long maxSettingsAgeNanos,
            long seed) {
        this(
                self,
                reader,
                loaderPort,
                quotaToleranceTokens,
                quotaOverage,
                retryRatio,
                retryExtra,
                retryWindowNanos,
                acceptNanos,
                graceNanos,
                maxSettingsAgeNanos,
                seed,
                false);
    }
}
