package ebonygw.access;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import java.util.Objects;
import java.util.Optional;

/**
 * What an attempt claims to be allowed.
 *
 * @param customer for whom it runs
 * @param keyId identifier of the key that the caller presented, empty if none
 * @param route name of the route
 * @param adapter exact version to run on, empty for plain services
 */
public record Grant(String customer, String keyId, String route, Optional<AdapterVersion> adapter) {
    /**
     * Creates a grant.
     *
     * @throws NullPointerException if an argument is null
     */
    public Grant {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(keyId, "keyId");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(adapter, "adapter");
    }

    /** Returns what a work item claims. */
    public static Grant of(Work work) {
        return new Grant(work.customer(), work.keyId(), work.route(), work.adapter());
    }
}
