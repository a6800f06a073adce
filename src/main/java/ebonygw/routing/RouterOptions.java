package ebonygw.routing;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * Costs and time constants of a {@link Router}. All costs are times, so that they can be compared.
 *
 * @param self the entry process
 * @param locality where it is
 * @param regionRoundTripNanos round trip to another region
 * @param localRoundTripNanos round trip to another data centre of the same region
 * @param billedNanosPerKibibyte wait that is as bad as a kibibyte between regions
 * @param loadNanos expected duration of a load
 * @param stallNanos cost of a load besides its duration, as the store's budget is scarce
 * @param prefillNanosPerToken time per prompt token that a cached prefix saves
 * @param serviceNanos expected duration of a request before any was measured
 * @param popularityHalfLifeNanos after how long a request counts half for popularity
 * @param fullUse part of a target's concurrency that one adapter may ask for before it gets another
 *     copy, 0 to 1
 * @param failuresToEject failures in a row that eject a target
 * @param ejectNanos first ejection's duration, doubled for each further one
 * @param maxEjectNanos longest ejection
 * @param returnNanos how long a target takes to return to full use, after ejection or a cold start
 */
public record RouterOptions(
        NodeId self,
        Locality locality,
        long regionRoundTripNanos,
        long localRoundTripNanos,
        long billedNanosPerKibibyte,
        long loadNanos,
        long stallNanos,
        long prefillNanosPerToken,
        long serviceNanos,
        long popularityHalfLifeNanos,
        double fullUse,
        int failuresToEject,
        long ejectNanos,
        long maxEjectNanos,
        long returnNanos) {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;

    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code fullUse} is not in (0, 1]
     */
    public RouterOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(locality, "locality");
        if (!(fullUse > 0 && fullUse <= 1)) {
            throw new IllegalArgumentException("fullUse must be in (0, 1]");
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
