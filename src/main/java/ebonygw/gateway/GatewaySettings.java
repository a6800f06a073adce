package ebonygw.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One revision of the complete configuration.
 *
 * <p>Immutable.
 */
public final class GatewaySettings {
    private final long mRevision;
    private final long mVersion;
    private final Map<String, List<GatewayRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, GatewayRoute> mRoutesByName = new HashMap<>();
    private final Map<String, GatewayCustomer> mCustomersByName = new HashMap<>();
    private final Map<String, GatewayService> mServices = new HashMap<>();
    private final List<GatewayCustomer> mCustomers;
    private final Map<String, GatewayCustomer> mCustomersByKey = new HashMap<>();
    private final Set<String> mAllowedRegions = new HashSet<>();
    private final long mMaxBodyBytes;

    /** Creates a revision whose version is its number. */
    public GatewaySettings(
            long revision,
            List<GatewayRoute> routes,
            List<GatewayService> services,
            List<GatewayCustomer> customers,
            long maxBodyBytes) {
        this(revision, revision, routes, services, customers, maxBodyBytes);
    }

    /**
     * Creates a revision.
     *
     * @param revision greater than that of any older revision
     * @param version version by the operators, which they increase with each change
     * @param routes the routes; of several matching ones that with the longest prefix applies
     * @param services the services, with unique names
     * @param customers the customers; if empty, no request needs a key
     * @param maxBodyBytes maximum size of a request body
     * @throws NullPointerException if an argument is null
     */
    public GatewaySettings(
            long revision,
            long version,
            List<GatewayRoute> routes,
            List<GatewayService> services,
            List<GatewayCustomer> customers,
            long maxBodyBytes) {
        mRevision = revision;
        mVersion = version;
        mCustomers = List.copyOf(customers);
        mMaxBodyBytes = maxBodyBytes;
        for (GatewayRoute route : routes) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
            mRoutesByName.put(route.name(), route);
            mAllowedRegions.addAll(route.allowedRegions().names());
        }
        Comparator<GatewayRoute> longestFirst =
                Comparator.comparingInt((GatewayRoute route) -> route.prefix().length()).reversed();
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> mServices.put(service.name(), service));
        for (GatewayCustomer customer : customers) {
            mCustomersByName.put(customer.name(), customer);
            mAllowedRegions.addAll(customer.allowedRegions().names());
            customer.keyHashes().forEach(hash -> mCustomersByKey.put(hash, customer));
        }
    }

    /** Returns the names of the regions in the lists of all routes and customers. */
    public Set<String> allowedRegions() {
        return Collections.unmodifiableSet(mAllowedRegions);
    }

    /** Returns the customer that owns the key with a SHA-256, empty if there is none. */
    public Optional<GatewayCustomer> customerByKey(String keyHash) {
        return Optional.ofNullable(mCustomersByKey.get(keyHash));
    }

    /** Returns the customer with a name, empty if there is none. */
    public Optional<GatewayCustomer> customerNamed(String name) {
        return Optional.ofNullable(mCustomersByName.get(name));
    }

    /** Returns all customers. */
    public List<GatewayCustomer> customers() {
        return mCustomers;
    }

    /** Returns the number of services whose limit for cold targets could not be read. */
    long malformedColdLimits() {
        return mServices.values().stream().filter(it -> it.cold().malformed()).count();
    }

    /** Returns the maximum size of a request body. */
    public long maxBodyBytes() {
        return mMaxBodyBytes;
    }

    /** Returns the revision. */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the route of the host with the longest matching prefix, empty if none matches.
     *
     * @param host host name without a port
     * @param path path with or without a query
     */
    public Optional<GatewayRoute> route(String host, String path) {
        for (GatewayRoute route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the route with a name, empty if there is none. */
    public Optional<GatewayRoute> routeNamed(String name) {
        return Optional.ofNullable(mRoutesByName.get(name));
    }

    /** Returns a service by name, empty if there is none. */
    public Optional<GatewayService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the version by the operators. */
    public long version() {
        return mVersion;
    }
}
