package ebonygw.admission;

import java.util.Objects;

/**
 * A fleet-wide resource that is divided like a customer's tokens, but is not defined in the
 * settings.
 *
 * @param name its name; must differ from every customer's name
 * @param ratePerSecond units that accrue per second over the whole fleet, 0 or greater
 * @param burst maximum number of units at once over the whole fleet, 0 or greater
 */
public record Resource(String name, double ratePerSecond, long burst) {
    /**
     * Creates a resource.
     *
     * @throws NullPointerException if {@code name} is null
     * @throws IllegalArgumentException if {@code ratePerSecond} is negative or NaN, or {@code
     *     burst} is negative
     */
    public Resource {
        Objects.requireNonNull(name, "name");
        if (!(ratePerSecond >= 0) || burst < 0) {
            throw new IllegalArgumentException(
                    "resource "
                            + name
                            + ": rate and burst must be 0 or greater, got rate "
                            + ratePerSecond
                            + " and burst "
                            + burst);
        }
    }
}
