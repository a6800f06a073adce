package ebonygw.gateway;

import ebonygw.spillover.SpilloverOptions;
import ebonygw.targetlimit.ColdOptions;
import java.util.Objects;
import java.util.Optional;

/**
 * Features of an entry that a deployment's settings switch on.
 *
 * @param contention whether callers compete at times for less capacity than they ask for, which
 *     enables quotas by shares of the demand and the exchange of the prefill backlog
 * @param spillover the operator's price of traffic between data centres, empty to compare them by
 *     constants
 * @param cold bound on the requests to cold targets, empty if they get as many as others
 */
public record GatewayFeatures(
        boolean contention, Optional<SpilloverOptions> spillover, Optional<ColdOptions> cold) {
    /** No feature. */
    public static final GatewayFeatures NONE =
            new GatewayFeatures(false, Optional.empty(), Optional.empty());

    /** Creates features. */
    public GatewayFeatures {
        Objects.requireNonNull(spillover, "spillover");
        Objects.requireNonNull(cold, "cold");
    }
}
