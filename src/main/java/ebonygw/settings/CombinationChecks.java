package ebonygw.settings;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Checks effective settings for faults that only show in combination, such as a route to a service
 * that no target serves.
 *
 * <p>Checks the effective settings that a change alters, and others only where they depend on
 * these. An instance checks one change. Not thread-safe.
 */
final class CombinationChecks {
    private final SettingsTree mTree;
    private final EffectiveView mView;
    private final Predicate<AdapterVersion> mInUse;
    private final List<Reason> mReasons = new ArrayList<>();
    private List<RouteSettings> mSharedRoutes;

    /**
     * Creates checks of a tree and its view; the predicate tests whether an adapter version runs
     * requests.
     */
    CombinationChecks(SettingsTree tree, EffectiveView view, Predicate<AdapterVersion> inUse) {
        mTree = tree;
        mView = view;
        mInUse = inUse;
    }

    /**
     * Checks the effects of a change.
     *
     * @param changes the altered effective settings
     * @param touched nodes that the change edits
     * @return the reasons to refuse it, empty if there are none
     */
    List<Reason> check(List<EffectiveChange> changes, Map<NodeKey, Set<NodeKind>> touched) {
        Set<String> names = new TreeSet<>();
        boolean everyRoute =
                touched.keySet().stream().anyMatch(node -> node.kind() == NodeKind.REGION)
                        || changes.stream().anyMatch(c -> c.node().kind() == NodeKind.TARGET);
        boolean everyCustomer = false;
        Set<String> customers = new TreeSet<>();
        for (EffectiveChange change : changes) {
            change.before().ifPresent(old -> checkRemoved(change, old));
            if (change.after().orElse(null) instanceof AdapterSettings adapter) {
                check(adapter);
            } else if (change.after().orElse(null) instanceof CustomerSettings customer) {
                check(customer);
                customers.add(customer.customer());
            } else if (change.after().orElse(null) instanceof RouteSettings route) {
                names.add(route.route());
                everyCustomer |= route.owner().isEmpty();
            }
        }
        for (RouteSettings route : mView.routes()) {
            if (everyRoute || customers.contains(route.owner())) {
                names.add(route.route());
            }
        }
        Set<String> served = servedModelsAndServices();
        names.forEach(name -> mView.route(name).ifPresent(route -> check(route, served)));
        if (everyCustomer) {
            mView.customers().forEach(this::checkSharedCharges);
        }
        return mReasons;
    }

    private void check(AdapterSettings adapter) {
        String subject = "adapter/" + adapter.adapter();
        if (adapter.model().isEmpty()) {
            refuse(subject, "has no model; set one on it or on a node above it");
        }
        if (adapter.versions().isEmpty()) {
            refuse(subject, "has no versions");
        } else if (!adapter.versions().contains(adapter.defaultVersion())) {
            refuse(
                    subject,
                    "its default version is not among its versions: " + adapter.defaultVersion());
        }
    }

    private void check(CustomerSettings customer) {
        String subject = "customer/" + customer.customer();
        if (customer.ratePerSecond() < 1) {
            refuse(
                    subject,
                    "its rate must be at least 1 token per second: " + customer.ratePerSecond());
        }
        if (customer.burst() < 1) {
            refuse(subject, "its burst must be at least 1 token: " + customer.burst());
        }
        checkSharedCharges(customer);
    }

    private void check(RouteSettings route, Set<String> served) {
        String subject = "route/" + route.route();
        if (route.model().isEmpty() && route.service().isEmpty()) {
            refuse(subject, "has neither a model nor a service; set one of them");
        }
        if (!route.model().isEmpty() && !route.service().isEmpty()) {
            refuse(subject, "has both a model and a service; set only one of them");
        }
        if (route.openToAll() && route.owner().isEmpty()) {
            refuse(subject, "is open to all but has no owner; it must be below a customer");
        }
        for (String modelOrService : List.of(route.model(), route.service())) {
            if (!modelOrService.isEmpty()
                    && !served.isEmpty()
                    && !served.contains(modelOrService)) {
                refuse(subject, "no target serves " + modelOrService);
            }
        }
        for (String region : new TreeSet<>(route.regions())) {
            if (!isKnownRegion(region)) {
                refuse(subject, "may run in a region that does not exist: " + region);
            }
        }
        mView.customer(route.owner()).ifPresent(owner -> checkCharge(route, owner));
    }

    private void checkCharge(RouteSettings route, CustomerSettings customer) {
        if (route.service().isEmpty()) {
            return;
        }
        long maxCharge = Math.min(customer.ratePerSecond(), customer.burst());
        if (route.charge() > maxCharge) {
            refuse(
                    "customer/" + customer.customer(),
                    "its rate or burst is below the charge of a single request to route/"
                            + route.route()
                            + ": "
                            + maxCharge
                            + " < "
                            + route.charge());
        }
    }

    private void checkRemoved(EffectiveChange change, Record before) {
        if (!(before instanceof AdapterSettings old)) {
            return;
        }
        Set<String> remaining =
                change.after().isPresent()
                        ? ((AdapterSettings) change.after().get()).versions()
                        : Set.of();
        for (String version : new TreeSet<>(old.versions())) {
            boolean removed = !remaining.contains(version);
            if (removed && mInUse.test(new AdapterVersion(old.adapter(), version))) {
                refuse(
                        "adapter/" + old.adapter(),
                        "version " + version + " runs requests and cannot be removed");
            }
        }
    }

    private void checkSharedCharges(CustomerSettings customer) {
        sharedRoutes().forEach(route -> checkCharge(route, customer));
    }

    private boolean isKnownRegion(String region) {
        try {
            return mTree.node(new NodeKey(NodeKind.REGION, region)).isPresent();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void refuse(String subject, String detail) {
        Reason reason = new Reason(subject, detail);
        if (!mReasons.contains(reason)) {
            mReasons.add(reason);
        }
    }

    private Set<String> servedModelsAndServices() {
        Set<String> served = new TreeSet<>();
        mView.targets().forEach(target -> served.add(target.serves()));
        return served;
    }

    private List<RouteSettings> sharedRoutes() {
        if (mSharedRoutes == null) {
            mSharedRoutes =
                    mView.routes().stream().filter(route -> route.owner().isEmpty()).toList();
        }
        return mSharedRoutes;
    }
}
