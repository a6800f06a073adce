package ebonygw.access;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import java.util.Objects;
import java.util.Optional;

/**
 * The rights that an attempt claims: to run for a customer, on a route and an adapter version.
 * Checked by {@link AccessRules}.
 *
 * @param customer the customer for whom it runs
 * @param keyId identifier of the key that the caller presented, empty if none
 * @param route name of the route
 * @param adapter exact version to run on, empty for plain services
 */
public record AccessClaim(
        String customer, String keyId, String route, Optional<AdapterVersion> adapter) {
    /**
     * Creates a claim.
     *
     * @throws NullPointerException if an argument is null
     */
    public AccessClaim {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(keyId, "keyId");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(adapter, "adapter");
    }

    /** Returns the claim of an attempt. */
    public static AccessClaim of(Work work) {
        return new AccessClaim(work.customer(), work.keyId(), work.route(), work.adapter());
    }
}
