package ebonygw.settings;

import java.util.Set;

/**
 * Effective settings of an adapter.
 *
 * @param adapter its name
 * @param owner customer that owns it, empty if every customer may use it
 * @param model its base model, empty if none is set
 * @param versions versions that may be served
 * @param defaultVersion version for requests that do not name one
 */
public record AdapterSettings(
        String adapter, String owner, String model, Set<String> versions, String defaultVersion) {
    /** Creates the settings. */
    public AdapterSettings {
        versions = Set.copyOf(versions);
    }
}
