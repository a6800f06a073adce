package ebonygw.gateway;

import ebonygw.protocol.Locality;
import java.util.concurrent.TimeUnit;

/**
 * Cost model by which {@link TargetChooser} compares targets. All costs are times.
 *
 * @param locality where the entry runs
 * @param regionNanos round trip to another region, plus the value of the billed traffic
 * @param dataCenterNanos round trip to another data centre of the region
 * @param loadNanos load of an adapter from the weight store, plus the value of the store's work
 * @param reloadNanos load of an adapter that the target held recently
 * @param loadInProgressNanos remaining time of a load that is already in progress
 * @param queuedLoadNanos added for each other load in progress at the same target
 * @param slotWaitNanos wait for each adapter slot that is missing at a target
 * @param moveThresholdNanos minimum saving for which a waiting request moves to another target
 * @param rankNanos added for each position in the adapter's preference order of targets
 * @param prefillNanosPerToken prefill of a prompt token that the target has not cached
 * @param fullTargetNanos queueing at a target whose request slots are all taken
 * @param plainRequestNanos run time of a request of a plain service
 */
public record ChooserOptions(
        Locality locality,
        long regionNanos,
        long dataCenterNanos,
        long loadNanos,
        long reloadNanos,
        long loadInProgressNanos,
        long queuedLoadNanos,
        long slotWaitNanos,
        long moveThresholdNanos,
        long rankNanos,
        long prefillNanosPerToken,
        long fullTargetNanos,
        long plainRequestNanos) {
    /**
     * Returns the costs for production. Load times and round-trip times follow the system
     * requirements.
     */
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
