package ebonygw.protocol;

import java.util.Objects;

/**
 * The region and data centre of a host.
 *
 * @param region name of the region
 * @param dataCenter name of the data centre, unique within its region
 */
public record Locality(String region, String dataCenter) {
    /**
     * Creates a locality.
     *
     * @throws NullPointerException if an argument is null
     */
    public Locality {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCenter, "dataCenter");
    }

    /** Returns whether both hosts are in the same region. */
    public boolean sameRegion(Locality other) {
        return region.equals(other.region);
    }

    /** Returns whether both hosts are in the same data centre of the same region. */
    public boolean sameDataCenter(Locality other) {
        return sameRegion(other) && dataCenter.equals(other.dataCenter);
    }
}
