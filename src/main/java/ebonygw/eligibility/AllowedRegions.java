package ebonygw.eligibility;

import java.util.Set;

/**
 * The regions in which the requests of a route or customer may run.
 *
 * @param names names of the regions, empty if there is no restriction
 */
public record AllowedRegions(Set<String> names) {
    /** No restriction. */
    public static final AllowedRegions ANY = new AllowedRegions(Set.of());

    /** Creates a list. */
    public AllowedRegions {
        names = Set.copyOf(names);
    }

    /** Returns whether requests may run in a region. */
    public boolean allows(String region) {
        return names.isEmpty() || names.contains(region);
    }
}
