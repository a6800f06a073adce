package ebonygw.membership;

import java.util.Objects;

/**
 * Options of a {@link TargetAuthority}.
 *
 * @param target name of the target, the same for every claimant of it
 * @param self the claiming process; its address tells whether a former holder was on the same host
 * @param engineChecksTokens whether the target refuses orders with an old fencing token
 * @param hostExclusive whether the target can be reached only from this host and this process holds
 *     the host's listening port, so that no other process can act on the target meanwhile
 * @param longestOrderNanos longest time from the decision on an order to its end, at least 0
 */
public record AuthorityOptions(
        String target,
        Member self,
        boolean engineChecksTokens,
        boolean hostExclusive,
        long longestOrderNanos) {
    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code target} is empty or {@code longestOrderNanos}
     *     negative
     */
    public AuthorityOptions {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(self, "self");
        if (target.isEmpty() || longestOrderNanos < 0) {
            throw new IllegalArgumentException("target is empty or longestOrderNanos negative");
        }
    }
}
