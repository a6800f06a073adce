package ebonygw.settings;

import java.util.Collection;
import java.util.Optional;

/**
 * The effective settings at one revision; immutable.
 *
 * <p>Look-ups of names that do not exist return an empty result. Thread-safe.
 */
public interface SettingsView {
    /** Returns the adapter with the given name. */
    Optional<AdapterSettings> adapter(String name);

    /** Returns all adapters that a customer may use: its own and those without an owner. */
    Collection<AdapterSettings> adaptersOf(String customer);

    /** Returns the customer with the given name. */
    Optional<CustomerSettings> customer(String name);

    /** Returns all customers. */
    Collection<CustomerSettings> customers();

    /**
     * Returns the key with the given SHA-256 in lower-case hexadecimal; withdrawn keys are absent.
     */
    Optional<KeySettings> keyByHash(String sha256Hex);

    /** Returns the key with the given identifier; withdrawn keys are absent. */
    Optional<KeySettings> keyById(String keyId);

    /** Returns the revision, 0 for the empty settings before the first change. */
    long revision();

    /** Returns the route with the given name. */
    Optional<RouteSettings> route(String name);

    /** Returns the target with the given name; a target need not be in the settings. */
    default Optional<TargetSettings> target(String name) {
        return Optional.empty();
    }
}
