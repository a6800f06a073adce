package ebonygw.caller;

import ebonygw.settings.AdapterSettings;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.KeySettings;
import ebonygw.settings.RouteSettings;
import ebonygw.settings.SettingsView;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Settings with one customer, key and adapter, two model routes and a service route. */
public final class SmallSettings implements SettingsView {
    public static final String KEY = "secret-key-of-atlas";
    public static final String KEY_HASH =
            "12f9a21cff6636ae040e341415a47165ff685e49fa9de1aa040a3bd524e389d3";

    private static final AdapterSettings ADAPTER =
            new AdapterSettings("kilts", "atlas", "base", Set.of("1", "2"), "2");

    @Override
    public Optional<AdapterSettings> adapter(String name) {
        return Optional.of(ADAPTER).filter(adapter -> adapter.adapter().equals(name));
    }

    @Override
    public Collection<AdapterSettings> adaptersOf(String customer) {
        return List.of(ADAPTER);
    }

    @Override
    public Optional<CustomerSettings> customer(String name) {
        return Optional.empty();
    }

    @Override
    public Collection<CustomerSettings> customers() {
        return List.of();
    }

    @Override
    public Optional<KeySettings> keyByHash(String sha256Hex) {
        return Optional.of(new KeySettings("k1", "atlas", KEY_HASH, Long.MAX_VALUE))
                .filter(key -> key.sha256Hex().equals(sha256Hex));
    }

    @Override
    public Optional<KeySettings> keyById(String keyId) {
        return Optional.empty();
    }

    @Override
    public long revision() {
        return 1;
    }

    @Override
    public Optional<RouteSettings> route(String name) {
        return switch (name) {
            case "completions", "drafts" -> Optional.of(route(name, "base", ""));
            case "orders" -> Optional.of(route(name, "", "orders"));
            default -> Optional.empty();
        };
    }

    private static RouteSettings route(String name, String model, String service) {
        return new RouteSettings(
                name, "", false, model, service, true, 1_000_000_000L, 0, 1, Set.of());
    }
}
