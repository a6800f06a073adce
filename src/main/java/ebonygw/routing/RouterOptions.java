package ebonygw.routing;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * Costs and time constants of a {@link Router}. All costs are in nanoseconds, so that they add up.
 *
 * @param self the entry process
 * @param locality the locality of the entry process
 * @param crossRegionRoundTripNanos round trip to another region
 * @param crossDataCenterRoundTripNanos round trip to another data centre of the same region
 * @param crossRegionNanosPerKibibyte cost of a kibibyte of traffic between regions, as an
 *     equivalent waiting time
 * @param loadNanos expected duration of an adapter load
 * @param loadPenaltyNanos cost of a load on top of its duration, since loads share the weight
 *     store's limited budget
 * @param prefillNanosPerToken time per prompt token that a cached prefix saves
 * @param serviceNanos expected duration of a request until one is measured
 * @param popularityHalfLifeNanos half-life of the decayed request count of an adapter
 * @param maxAdapterUtilisation fraction of a target's concurrency that one adapter may use before
 *     it gets another copy, above 0 and at most 1
 * @param failuresToEject consecutive failures after which a target is ejected
 * @param ejectionNanos duration of the first ejection, doubled for each further one
 * @param maxEjectionNanos maximum duration of an ejection
 * @param rampUpNanos time over which a target returns to full concurrency after an ejection or a
 *     cold start
 */
public record RouterOptions(
        NodeId self,
        Locality locality,
        long crossRegionRoundTripNanos,
        long crossDataCenterRoundTripNanos,
        long crossRegionNanosPerKibibyte,
        long loadNanos,
        long loadPenaltyNanos,
        long prefillNanosPerToken,
        long serviceNanos,
        long popularityHalfLifeNanos,
        double maxAdapterUtilisation,
        int failuresToEject,
        long ejectionNanos,
        long maxEjectionNanos,
        long rampUpNanos) {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;

    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code maxAdapterUtilisation} is not in (0, 1]
     */
    public RouterOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(locality, "locality");
        if (!(maxAdapterUtilisation > 0 && maxAdapterUtilisation <= 1)) {
            throw new IllegalArgumentException(
                    "maxAdapterUtilisation must be in (0, 1]: " + maxAdapterUtilisation);
        }
    }

    /** Returns the options for production. */
    public static RouterOptions defaults(NodeId self, Locality locality) {
        return new RouterOptions(
                self,
                locality,
                30 * MILLISECOND_NANOS,
                MILLISECOND_NANOS,
                20 * MILLISECOND_NANOS,
                250 * MILLISECOND_NANOS,
                8 * SECOND_NANOS,
                MILLISECOND_NANOS / 5,
                2 * SECOND_NANOS,
                600 * SECOND_NANOS,
                0.5,
                5,
                5 * SECOND_NANOS,
                60 * SECOND_NANOS,
                10 * SECOND_NANOS);
    }
}
