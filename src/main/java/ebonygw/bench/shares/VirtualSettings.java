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
 * Settings that hold customers alone.
 *
 * @param revision their revision
 * @param byName the customers
 */
record VirtualSettings(long revision, Map<String, CustomerSettings> byName)
        implements SettingsView {
    VirtualSettings {
        byName = Map.copyOf(byName);
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
        return Optional.ofNullable(byName.get(name));
    }

    @Override
    public Collection<CustomerSettings> customers() {
        return byName.values();
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
