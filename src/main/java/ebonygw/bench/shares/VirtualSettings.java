package ebonygw.bench.shares;

import ebonygw.settings.AdapterSettings;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.KeySettings;
import ebonygw.settings.RouteSettings;
import ebonygw.settings.SettingsView;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings that contain customers only.
 *
 * @param revision revision of the settings
 * @param customersByName customers by name
 */
record VirtualSettings(long revision, Map<String, CustomerSettings> customersByName)
        implements SettingsView {
    VirtualSettings {
        customersByName = Map.copyOf(customersByName);
    }

    @Override
    public Optional<AdapterSettings> adapter(String name) {
        return Optional.empty();
    }

    @Override
    public Collection<AdapterSettings> adaptersOf(String customer) {
        return List.of();
    }

    @Override
    public Optional<CustomerSettings> customer(String name) {
        return Optional.ofNullable(customersByName.get(name));
    }

    @Override
    public Collection<CustomerSettings> customers() {
        return customersByName.values();
    }

    @Override
    public Optional<KeySettings> keyByHash(String sha256Hex) {
        return Optional.empty();
    }

    @Override
    public Optional<KeySettings> keyById(String keyId) {
        return Optional.empty();
    }

    @Override
    public Optional<RouteSettings> route(String name) {
        return Optional.empty();
    }
}
