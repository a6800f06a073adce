package ebonygw.request;

import java.util.Objects;

/**
 * An exact version of an adapter.
 *
 * @param adapter the adapter's name, unique in the fleet
 * @param version the version's name, unique within the adapter
 */
public record AdapterVersion(String adapter, String version) {
    /**
     * Creates an adapter version.
     *
     * @throws NullPointerException if an argument is null
     */
    public AdapterVersion {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(version, "version");
    }

    @Override
    public String toString() {
        return adapter + "@" + version;
    }
}
