package ebonygw.settings;

import io.vavr.collection.HashMap;
import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Effective settings in persistent maps, so that the next revision shares what does not change.
 *
 * <p>The maps hold present {@code Optional} values, so that look-ups return them without
 * allocation. Thread-safe.
 */
final class EffectiveView implements SettingsView {
    static final EffectiveView EMPTY =
            new EffectiveView(
                    0,
                    PagedMap.empty(),
                    PagedMap.empty(),
                    PagedMap.empty(),
                    HashMap.empty(),
                    PagedMap.empty(),
                    PagedMap.empty(),
                    PagedMap.empty());

    private final long mRevision;
    final PagedMap<String, Optional<CustomerSettings>> mCustomers;
    final PagedMap<String, Optional<RouteSettings>> mRoutes;
    final PagedMap<String, Optional<AdapterSettings>> mAdapters;
    final HashMap<String, HashMap<String, Optional<AdapterSettings>>> mAdaptersByOwner;
    final PagedMap<String, Optional<TargetSettings>> mTargets;
    final PagedMap<String, Optional<KeySettings>> mKeysById;
    final PagedMap<String, Optional<KeySettings>> mKeysByHash;

    EffectiveView(
            long revision,
            PagedMap<String, Optional<CustomerSettings>> customers,
            PagedMap<String, Optional<RouteSettings>> routes,
            PagedMap<String, Optional<AdapterSettings>> adapters,
            HashMap<String, HashMap<String, Optional<AdapterSettings>>> adaptersByOwner,
            PagedMap<String, Optional<TargetSettings>> targets,
            PagedMap<String, Optional<KeySettings>> keysById,
            PagedMap<String, Optional<KeySettings>> keysByHash) {
        mRevision = revision;
        mCustomers = customers;
        mRoutes = routes;
        mAdapters = adapters;
        mAdaptersByOwner = adaptersByOwner;
        mTargets = targets;
        mKeysById = keysById;
        mKeysByHash = keysByHash;
    }

    @Override
    public Optional<AdapterSettings> adapter(String name) {
        return mAdapters.getOrElse(name, Optional.empty());
    }

    @Override
    public Collection<AdapterSettings> adaptersOf(String customer) {
        HashMap<String, Optional<AdapterSettings>> shared =
                mAdaptersByOwner.getOrElse("", HashMap.empty());
        HashMap<String, Optional<AdapterSettings>> own =
                customer.isEmpty()
                        ? HashMap.empty()
                        : mAdaptersByOwner.getOrElse(customer, HashMap.empty());
        return new PresentValues<>(
                own.size() + shared.size(),
                () -> own.valuesIterator().concat(shared.valuesIterator()));
    }

    @Override
    public Optional<CustomerSettings> customer(String name) {
        return mCustomers.getOrElse(name, Optional.empty());
    }

    @Override
    public Collection<CustomerSettings> customers() {
        return new PresentValues<>(mCustomers.size(), mCustomers::values);
    }

    @Override
    public Optional<KeySettings> keyByHash(String sha256Hex) {
        return mKeysByHash
                .getOrElse(CallerKeys.prefix(sha256Hex), Optional.empty())
                .filter(key -> CallerKeys.sameHash(key.sha256Hex(), sha256Hex));
    }

    @Override
    public Optional<KeySettings> keyById(String keyId) {
        return mKeysById.getOrElse(keyId, Optional.empty());
    }

    @Override
    public long revision() {
        return mRevision;
    }

    @Override
    public Optional<RouteSettings> route(String name) {
        return mRoutes.getOrElse(name, Optional.empty());
    }

    @Override
    public Optional<TargetSettings> target(String name) {
        return mTargets.getOrElse(name, Optional.empty());
    }

    /** Returns all routes. */
    Collection<RouteSettings> routes() {
        return new PresentValues<>(mRoutes.size(), mRoutes::values);
    }

    /** Returns all targets. */
    Collection<TargetSettings> targets() {
        return new PresentValues<>(mTargets.size(), mTargets::values);
    }

    /** The contents of the optional values of a map. */
    private static final class PresentValues<T> extends AbstractCollection<T> {
        private final int mSize;
        private final Supplier<Iterator<Optional<T>>> mIterators;

        PresentValues(int size, Supplier<Iterator<Optional<T>>> iterators) {
            mSize = size;
            mIterators = iterators;
        }

        @Override
        public Iterator<T> iterator() {
            Iterator<Optional<T>> values = mIterators.get();
            return new Iterator<>() {
                @Override
                public boolean hasNext() {
                    return values.hasNext();
                }

                @Override
                public T next() {
                    return values.next().orElseThrow();
                }
            };
        }

        @Override
        public int size() {
            return mSize;
        }
    }
}
