package ebonygw.settings;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Finds what is wrong with effective settings only in combination.
 *
 * <p>Looks at what a change alters, and at more only where an alteration reaches further. Used
 * once.
 */
final class CombinationChecks {
    private final SettingsTree mTree;
    private final EffectiveView mView;
    private final Predicate<AdapterVersion> mInUse;
    private final List<Reason> mReasons = new ArrayList<>();
    private List<RouteSettings> mSharedRoutes;

    /** Creates checks of a tree and its view; the predicate tells versions that run requests. */
    CombinationChecks(SettingsTree tree, EffectiveView view, Predicate<AdapterVersion> inUse) {
        mTree = tree;
        mView = view;
        mInUse = inUse;
    }

    /**
     * Checks what a change alters.
     *
     * @param changes the altered effective settings
     * @param touched nodes whose own settings the change touches
     * @return the reasons against it, empty if there are none
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
        Set<String> served = served();
        names.forEach(name -> mView.route(name).ifPresent(route -> check(route, served)));
        if (everyCustomer) {
            mView.customers().forEach(this::checkSharedCharges);
        }
        return mReasons;
    }

    private void check(AdapterSettings adapter) {
        String subject = "adapter/" + adapter.adapter();
        if (adapter.model().isEmpty()) {
            reason(subject, "has no model");
        }
        if (adapter.versions().isEmpty()) {
            reason(subject, "has no version");
        } else if (!adapter.versions().contains(adapter.defaultVersion())) {
            reason(
                    subject,
                    "its default version is none of its versions: " + adapter.defaultVersion());
        }
    }

    private void check(CustomerSettings customer) {
        String subject = "customer/" + customer.customer();
        if (customer.ratePerSecond() < 1) {
            reason(subject, "has no rate");
        }
        if (customer.burst() < 1) {
            reason(subject, "has no burst");
        }
        checkSharedCharges(customer);
    }

    private void check(RouteSettings route, Set<String> served) {
        String subject = "route/" + route.route();
        if (route.model().isEmpty() && route.service().isEmpty()) {
            reason(subject, "has no targets: neither a model nor a service");
        }
        if (!route.model().isEmpty() && !route.service().isEmpty()) {
            reason(subject, "has both a model and a service");
        }
        if (route.openToAll() && route.owner().isEmpty()) {
            reason(subject, "is open to all but no customer owns it");
        }
        for (String backEnd : List.of(route.model(), route.service())) {
            if (!backEnd.isEmpty() && !served.isEmpty() && !served.contains(backEnd)) {
                reason(subject, "has no targets: none serves " + backEnd);
            }
        }
        for (String region : new TreeSet<>(route.regions())) {
            if (!known(region)) {
                reason(subject, "runs in a region that does not exist: " + region);
            }
        }
        mView.customer(route.owner()).ifPresent(owner -> checkCharge(route, owner));
    }

    private void checkCharge(RouteSettings route, CustomerSettings customer) {
        if (route.service().isEmpty()) {
            return;
        }
        long least = Math.min(customer.ratePerSecond(), customer.burst());
        if (route.charge() > least) {
            reason(
                    "customer/" + customer.customer(),
                    "its rate or burst is below the charge of a single request of route/"
                            + route.route()
                            + ": "
                            + least
                            + " < "
                            + route.charge());
        }
    }

    private void checkRemoved(EffectiveChange change, Record before) {
        if (!(before instanceof AdapterSettings old)) {
            return;
        }
        Set<String> left =
                change.after().isPresent()
                        ? ((AdapterSettings) change.after().get()).versions()
                        : Set.of();
        for (String version : new TreeSet<>(old.versions())) {
            boolean removed = !left.contains(version);
            if (removed && mInUse.test(new AdapterVersion(old.adapter(), version))) {
                reason("adapter/" + old.adapter(), "a version in use is removed: " + version);
            }
        }
    }

    private void checkSharedCharges(CustomerSettings customer) {
        sharedRoutes().forEach(route -> checkCharge(route, customer));
    }

    private boolean known(String region) {
        try {
            return mTree.node(new NodeKey(NodeKind.REGION, region)).isPresent();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void reason(String subject, String detail) {
        Reason reason = new Reason(subject, detail);
        if (!mReasons.contains(reason)) {
            mReasons.add(reason);
        }
    }

    private Set<String> served() {
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
