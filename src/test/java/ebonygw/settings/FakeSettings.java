package ebonygw.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Mutable settings for tests, which are defined by method invocations. */
public final class FakeSettings implements SettingsView {
    public static final long TIMEOUT_NANOS = 10_000_000_000L;

    private final Map<String, CustomerSettings> mCustomers = new HashMap<>();
    private final Map<String, RouteSettings> mRoutes = new HashMap<>();
    private final Map<String, AdapterSettings> mAdapters = new HashMap<>();
    private final Map<String, KeySettings> mKeys = new HashMap<>();
    private long mRevision = 1;

    public FakeSettings withAdapter(String name, String owner, String model, String... versions) {
        mAdapters.put(name, new AdapterSettings(name, owner, model, Set.of(versions), versions[0]));
        mRevision++;
        return this;
    }

    public FakeSettings withCustomer(String name, long rate, long burst) {
        mCustomers.put(name, new CustomerSettings(name, rate, burst, 1.0, 20));
        mRevision++;
        return this;
    }

    /** Adds a key with {@code hash-ID} in place of its SHA-256, where ID is its identifier. */
    public FakeSettings withKey(String keyId, String customer) {
        mKeys.put(keyId, new KeySettings(keyId, customer, "hash-" + keyId, Long.MAX_VALUE));
        mRevision++;
        return this;
    }

    public FakeSettings withModelRoute(String name, String owner, boolean open, String model) {
        mRoutes.put(
                name,
                new RouteSettings(
                        name, owner, open, model, "", true, TIMEOUT_NANOS, 0, 0, Set.of()));
        mRevision++;
        return this;
    }

    public FakeSettings withServiceRoute(String name, String service, boolean idempotent) {
        mRoutes.put(
                name,
                new RouteSettings(
                        name, "", false, "", service, idempotent, TIMEOUT_NANOS, 0, 1, Set.of()));
        mRevision++;
        return this;
    }

    public FakeSettings withoutKey(String keyId) {
        mKeys.remove(keyId);
        mRevision++;
        return this;
    }

    @Override
    public Optional<AdapterSettings> adapter(String name) {
        return Optional.ofNullable(mAdapters.get(name));
    }

    @Override
    public Collection<AdapterSettings> adaptersOf(String customer) {
        List<AdapterSettings> adapters = new ArrayList<>(mAdapters.values());
        adapters.removeIf(a -> !a.owner().isEmpty() && !a.owner().equals(customer));
        return adapters;
    }

    @Override
    public Optional<CustomerSettings> customer(String name) {
        return Optional.ofNullable(mCustomers.get(name));
    }

    @Override
    public Collection<CustomerSettings> customers() {
        return List.copyOf(mCustomers.values());
    }

    @Override
    public Optional<KeySettings> keyByHash(String sha256Hex) {
        return mKeys.values().stream().filter(k -> k.sha256Hex().equals(sha256Hex)).findFirst();
    }

    @Override
    public Optional<KeySettings> keyById(String keyId) {
        return Optional.ofNullable(mKeys.get(keyId));
    }

    @Override
    public long revision() {
        return mRevision;
    }

    @Override
    public Optional<RouteSettings> route(String name) {
        return Optional.ofNullable(mRoutes.get(name));
    }
}
