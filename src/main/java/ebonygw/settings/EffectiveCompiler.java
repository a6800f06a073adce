package ebonygw.settings;

import ebonygw.settings.FieldValue.Decimal;
import ebonygw.settings.FieldValue.Flag;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Updates the effective view after edits, recomputing only the edited nodes and those below them.
 *
 * <p>An instance computes one view. Not thread-safe.
 */
final class EffectiveCompiler {
    private final SettingsTree mTree;
    private final List<EffectiveChange> mChanges = new ArrayList<>();
    private final PagedMap.Builder<String, Optional<CustomerSettings>> mCustomers;
    private final PagedMap.Builder<String, Optional<RouteSettings>> mRoutes;
    private final PagedMap.Builder<String, Optional<AdapterSettings>> mAdapters;
    private HashMap<String, HashMap<String, Optional<AdapterSettings>>> mAdaptersByOwner;
    private final PagedMap.Builder<String, Optional<TargetSettings>> mTargets;
    private final PagedMap.Builder<String, Optional<KeySettings>> mKeysById;
    private final PagedMap.Builder<String, Optional<KeySettings>> mKeysByHash;

    /** Creates a compiler that updates an old view to a new tree. */
    EffectiveCompiler(EffectiveView old, SettingsTree tree) {
        mTree = tree;
        mCustomers = old.mCustomers.edit();
        mRoutes = old.mRoutes.edit();
        mAdapters = old.mAdapters.edit();
        mAdaptersByOwner = old.mAdaptersByOwner;
        mTargets = old.mTargets.edit();
        mKeysById = old.mKeysById.edit();
        mKeysByHash = old.mKeysByHash.edit();
    }

    /** Returns the effective settings that differ from the old view. */
    List<EffectiveChange> changes() {
        return mChanges;
    }

    /**
     * Computes the effective settings that the edits may have changed.
     *
     * @param revision revision of the new view
     * @param touched edited nodes, each with the kinds of nodes at or below it that may differ
     * @param keys identifiers of the keys issued or withdrawn
     * @return the new view
     */
    EffectiveView compile(long revision, Map<NodeKey, Set<NodeKind>> touched, Set<String> keys) {
        Set<NodeKey> affected = new LinkedHashSet<>();
        touched.forEach((node, kinds) -> mTree.visit(node, kinds, affected::add));
        affected.forEach(this::compile);
        keys.forEach(this::compileKey);
        return new EffectiveView(
                revision,
                mCustomers.build(),
                mRoutes.build(),
                mAdapters.build(),
                mAdaptersByOwner,
                mTargets.build(),
                mKeysById.build(),
                mKeysByHash.build());
    }

    private AdapterSettings adapter(NodeKey key) {
        return new AdapterSettings(
                key.name(),
                owner(key),
                text(key, Field.MODEL),
                names(key, Field.VERSIONS),
                text(key, Field.DEFAULT_VERSION));
    }

    private HashMap<String, Optional<AdapterSettings>> adaptersOfOwner(String owner) {
        return mAdaptersByOwner.getOrElse(owner, HashMap.empty());
    }

    private void compile(NodeKey key) {
        boolean exists = mTree.node(key).isPresent();
        switch (key.kind()) {
            case ADAPTER ->
                    replaceAdapter(key, exists ? Optional.of(adapter(key)) : Optional.empty());
            case CUSTOMER ->
                    replace(
                            mCustomers,
                            key,
                            key.name(),
                            exists ? Optional.of(customer(key)) : Optional.empty());
            case ROUTE -> {
                Optional<RouteSettings> route = exists ? Optional.of(route(key)) : Optional.empty();
                String owner =
                        route.or(() -> current(mRoutes, key.name()))
                                .map(RouteSettings::owner)
                                .orElse("");
                replace(mRoutes, key, owner, route);
            }
            case TARGET ->
                    replace(
                            mTargets,
                            key,
                            "",
                            exists ? Optional.of(target(key)) : Optional.empty());
            default -> {
                // Organisations and regions have no effective settings of their own.
            }
        }
    }

    private void compileKey(String keyId) {
        IssuedKey key = mTree.issuedKey(keyId).orElseThrow();
        KeySettings settings = key.settings();
        if (key.live()) {
            Optional<KeySettings> value = Optional.of(settings);
            mKeysById.put(keyId, value);
            mKeysByHash.put(CallerKeys.prefix(settings.sha256Hex()), value);
        } else {
            mKeysById.remove(keyId);
            mKeysByHash.remove(CallerKeys.prefix(settings.sha256Hex()));
        }
    }

    private static <T> Optional<T> current(PagedMap.Builder<String, Optional<T>> map, String name) {
        return map.getOrElse(name, Optional.empty());
    }

    private CustomerSettings customer(NodeKey key) {
        return new CustomerSettings(
                key.name(),
                whole(key, Field.RATE),
                whole(key, Field.BURST),
                ((Decimal) mTree.effective(key, Field.WEIGHT)).value(),
                (int) whole(key, Field.RETRY_PERCENT));
    }

    private boolean flag(NodeKey key, Field field) {
        return ((Flag) mTree.effective(key, field)).value();
    }

    private Set<String> names(NodeKey key, Field field) {
        return ((Names) mTree.effective(key, field)).value();
    }

    private String owner(NodeKey key) {
        return mTree.ancestor(key, NodeKind.CUSTOMER).map(NodeKey::name).orElse("");
    }

    private <T extends Record> boolean replace(
            PagedMap.Builder<String, Optional<T>> map,
            NodeKey key,
            String customer,
            Optional<T> after) {
        Optional<T> before = current(map, key.name());
        if (before.equals(after)) {
            return false;
        }
        mChanges.add(
                new EffectiveChange(
                        key, customer, before.map(r -> (Record) r), after.map(r -> (Record) r)));
        if (after.isPresent()) {
            map.put(key.name(), after);
        } else {
            map.remove(key.name());
        }
        return true;
    }

    private void replaceAdapter(NodeKey key, Optional<AdapterSettings> after) {
        Optional<AdapterSettings> before = current(mAdapters, key.name());
        String owner = after.or(() -> before).map(AdapterSettings::owner).orElse("");
        if (!replace(mAdapters, key, owner, after)) {
            return;
        }
        before.ifPresent(
                old ->
                        mAdaptersByOwner =
                                mAdaptersByOwner.put(
                                        old.owner(),
                                        adaptersOfOwner(old.owner()).remove(key.name())));
        after.ifPresent(
                now ->
                        mAdaptersByOwner =
                                mAdaptersByOwner.put(
                                        now.owner(),
                                        adaptersOfOwner(now.owner()).put(key.name(), after)));
    }

    /**
     * Returns whether the model is set nearer to a route than the service, which it then replaces.
     */
    private boolean modelIsNearer(NodeKey key) {
        int model = mTree.distance(key, Field.MODEL);
        int service = mTree.distance(key, Field.SERVICE);
        return model >= 0 && service >= 0 && model < service;
    }

    private RouteSettings route(NodeKey key) {
        Set<String> regions = names(key, Field.REGIONS);
        if (regions.isEmpty()) {
            // Without regions of its own, a route may run in the outermost region above it.
            regions =
                    mTree.farthestAncestor(key, NodeKind.REGION)
                            .map(region -> Set.of(region.name()))
                            .orElse(Set.of());
        }
        return new RouteSettings(
                key.name(),
                owner(key),
                flag(key, Field.OPEN_TO_ALL),
                serviceIsNearer(key) ? "" : text(key, Field.MODEL),
                modelIsNearer(key) ? "" : text(key, Field.SERVICE),
                flag(key, Field.IDEMPOTENT),
                TimeUnit.MILLISECONDS.toNanos(whole(key, Field.TIMEOUT_MILLIS)),
                (int) whole(key, Field.PRIORITY),
                whole(key, Field.CHARGE),
                regions);
    }

    /**
     * Returns whether the service is set nearer to a route than the model, which it then replaces.
     */
    private boolean serviceIsNearer(NodeKey key) {
        int model = mTree.distance(key, Field.MODEL);
        int service = mTree.distance(key, Field.SERVICE);
        return model >= 0 && service >= 0 && service < model;
    }

    private TargetSettings target(NodeKey key) {
        return new TargetSettings(
                key.name(), text(key, Field.SERVES), flag(key, Field.CHECKS_FENCING));
    }

    private String text(NodeKey key, Field field) {
        return ((Text) mTree.effective(key, field)).value();
    }

    private long whole(NodeKey key, Field field) {
        return ((Whole) mTree.effective(key, field)).value();
    }
}
