package ebonygw.membership;

import java.util.Objects;

/**
 * Options of a {@link TargetAuthority}.
 *
 * @param target name of the target, not empty, the same for each process that claims it
 * @param self the claiming process; a previous holder counts as on the same host if its address has
 *     the same IP
 * @param targetChecksTokens whether the target rejects orders with an outdated fencing token
 * @param hostExclusive whether the target can be reached only from this host and this process holds
 *     the listening port on the host, so that no other process can act on the target at the same
 *     time
 * @param maxOrderNanos maximum time from the decision on an order to its completion, at least 0
 */
public record AuthorityOptions(
        String target,
        Member self,
        boolean targetChecksTokens,
        boolean hostExclusive,
        long maxOrderNanos) {
    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code target} is empty or {@code maxOrderNanos} is
     *     negative
     */
    public AuthorityOptions {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(self, "self");
        if (target.isEmpty() || maxOrderNanos < 0) {
            throw new IllegalArgumentException(
                    "target is empty or maxOrderNanos is negative: \""
                            + target
                            + "\", "
                            + maxOrderNanos);
        }
    }
}
