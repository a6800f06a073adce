package ebonygw.gateway;

import ebonygw.membership.Member;
import java.util.Objects;

/**
 * Options of a {@link GatewayNode}.
 *
 * @param self this process; its address is that of its peer listener
 * @param reader reads what operators and targets write
 * @param loaderPort port at which the loader beside a replica listens for links
 * @param quotaToleranceTokens tokens that all entries together may use beyond a customer's quota
 * @param quotaOverage part of a customer's rate and burst that may be used beyond them
 * @param retryRatio repeated arrivals allowed for each request of a service
 * @param retryExtra repeated arrivals allowed besides in each window
 * @param retryWindowNanos the window
 * @param acceptNanos how long new requests are taken after a stop was asked for
 * @param graceNanos longest time of a graceful stop
 * @param seed seed of its random decisions
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
        long seed) {
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
            throw new IllegalArgumentException("an option is out of its bounds");
        }
        if (acceptNanos < 0 || graceNanos < acceptNanos) {
            throw new IllegalArgumentException("times of the stop are out of their bounds");
        }
    }
}
