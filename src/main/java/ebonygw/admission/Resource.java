package ebonygw.admission;

import java.util.Objects;

/**
 * A fleet-wide resource that is divided like a customer's tokens but is not in the settings.
 *
 * @param name its name; must not be a customer's
 * @param ratePerSecond units a second over the whole fleet
 * @param burst most units at once over the whole fleet
 */
public record Resource(String name, double ratePerSecond, long burst) {
    /**
     * Creates a resource.
     *
     * @throws NullPointerException if {@code name} is null
     * @throws IllegalArgumentException if a number is below 0
     */
    public Resource {
        Objects.requireNonNull(name, "name");
        if (!(ratePerSecond >= 0) || burst < 0) {
            throw new IllegalArgumentException("below 0: " + name);
        }
    }
}
