package ebonygw.settings;

import java.util.Collection;
import java.util.Optional;

/**
 * Immutable effective settings at one revision.
 *
 * <p>Look-ups of names that do not exist return an empty result. Thread-safe.
 */
public interface SettingsView {
    /** Returns the adapter of that name. */
    Optional<AdapterSettings> adapter(String name);

    /** Returns all adapters that a customer may use. */
    Collection<AdapterSettings> adaptersOf(String customer);

    /** Returns the customer of that name. */
    Optional<CustomerSettings> customer(String name);

    /** Returns all customers. */
    Collection<CustomerSettings> customers();

    /** Returns the key with that SHA-256, in lower-case hexadecimal; withdrawn keys are absent. */
    Optional<KeySettings> keyByHash(String sha256Hex);

    /** Returns the key with that identifier; withdrawn keys are absent. */
    Optional<KeySettings> keyById(String keyId);

    /** Returns the revision, 0 for the empty settings before the first change. */
    long revision();

    /** Returns the route of that name. */
    Optional<RouteSettings> route(String name);

    /** Returns the target of that name; targets need not be in the settings. */
    default Optional<TargetSettings> target(String name) {
        return Optional.empty();
    }
}
