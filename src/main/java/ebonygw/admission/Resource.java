package ebonygw.admission;

import java.util.Objects;

/**
 * A fleet-wide resource that is divided like a customer's tokens but is not in the settings.
 *
 * @param name its name; must not be a customer's
 * @param ratePerSecond units a second over the whole fleet, 0 if units come back by return alone
 * @param burst most units at once over the whole fleet
 * @param longestUseNanos after how long a lent unit that was not returned counts as returned, 0 for
 *     never
 */
public record Resource(String name, long ratePerSecond, long burst, long longestUseNanos) {
    /**
     * Creates a resource.
     *
     * @throws NullPointerException if {@code name} is null
     * @throws IllegalArgumentException if a number is below 0
     */
    public Resource {
        Objects.requireNonNull(name, "name");
        if (ratePerSecond < 0 || burst < 0 || longestUseNanos < 0) {
            throw new IllegalArgumentException("below 0: " + name);
        }
    }
}
