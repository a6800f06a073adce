package ebonygw.gateway;

import ebonygw.protocol.Locality;
import java.util.concurrent.TimeUnit;

/**
 * Costs by which targets are compared, all as times.
 *
 * @param locality where the entry runs
 * @param regionNanos round trip to another region, and what its billed traffic is worth
 * @param dataCenterNanos round trip to another data centre of the region
 * @param loadNanos a load of an adapter from the weight store, and what the store's work is worth
 * @param reloadNanos a load of an adapter that the target held of late
 * @param loadingNanos a load that is under way already
 * @param queuedLoadNanos each further load under way at the same target
 * @param placeNanos wait for each place that is missing at a target, as some become idle
 * @param stayNanos what another target must save for a request to wait there instead
 * @param rankNanos each rank in an adapter's order of homes
 * @param prefillNanosPerToken reading of a prompt token that is not kept
 * @param fullNanos a target with all slots taken
 * @param workNanos a request of a plain service
 */
public record ChooserOptions(
        Locality locality,
        long regionNanos,
        long dataCenterNanos,
        long loadNanos,
        long reloadNanos,
        long loadingNanos,
        long queuedLoadNanos,
        long placeNanos,
        long stayNanos,
        long rankNanos,
        long prefillNanosPerToken,
        long fullNanos,
        long workNanos) {
    /** Returns the costs for production; times of loads and links are those of the brief. */
    public static ChooserOptions defaults(Locality locality) {
        return new ChooserOptions(
                locality,
                TimeUnit.MILLISECONDS.toNanos(100),
                TimeUnit.MILLISECONDS.toNanos(2),
                TimeUnit.MILLISECONDS.toNanos(600),
                TimeUnit.MILLISECONDS.toNanos(60),
                TimeUnit.MILLISECONDS.toNanos(100),
                TimeUnit.MILLISECONDS.toNanos(60),
                TimeUnit.MILLISECONDS.toNanos(250),
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.MILLISECONDS.toNanos(50),
                TimeUnit.MICROSECONDS.toNanos(26),
                TimeUnit.MILLISECONDS.toNanos(200),
                TimeUnit.MILLISECONDS.toNanos(40));
    }
}
