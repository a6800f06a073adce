package ebonygw.eligibility;

import java.util.Objects;

/**
 * The regions in which one request may run: those that both its route and its customer allow.
 *
 * @param route regions that the route allows
 * @param customer regions that the customer allows
 * @param sinceNanos when the configuration with these lists came into force
 */
public record RegionScope(AllowedRegions route, AllowedRegions customer, long sinceNanos) {
    /** No restriction. */
    public static final RegionScope UNRESTRICTED =
            new RegionScope(AllowedRegions.ANY, AllowedRegions.ANY, 0);

    /**
     * Creates a scope.
     *
     * @throws NullPointerException if an argument is null
     */
    public RegionScope {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(customer, "customer");
    }

    /** Returns whether the request may run in a region. */
    public boolean allows(String region) {
        return route.allows(region) && customer.allows(region);
    }

    /**
     * Returns the scope by the lists of a newer configuration, this one if they are the same.
     *
     * @param nowNanos when the newer configuration came into force
     */
    public RegionScope updated(AllowedRegions newRoute, AllowedRegions newCustomer, long nowNanos) {
        return route.equals(newRoute) && customer.equals(newCustomer)
                ? this
                : new RegionScope(newRoute, newCustomer, nowNanos);
    }
}
