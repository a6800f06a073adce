package ebonygw.gateway;

import ebonygw.spillover.SpilloverOptions;
import java.util.Objects;
import java.util.Optional;

/**
 * Features of an entry that a deployment's settings switch on.
 *
 * @param loadShedding whether the deployment expects load beyond its capacity, which enables what
 *     decides who is served first
 * @param spillover the operator's price of traffic between data centres, empty to compare them by
 *     constants
 */
public record GatewayFeatures(boolean loadShedding, Optional<SpilloverOptions> spillover) {
    /** No feature. */
    public static final GatewayFeatures NONE = new GatewayFeatures(false, Optional.empty());

    /** Creates features. */
    public GatewayFeatures {
        Objects.requireNonNull(spillover, "spillover");
    }
}
