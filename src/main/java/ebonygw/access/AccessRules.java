package ebonygw.access;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.KeySettings;
import ebonygw.settings.RouteSettings;
import ebonygw.settings.SettingsView;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request may run for a customer, at one revision of the settings.
 *
 * <p>Entry and target processes apply the same rules, each at the revision it has. Thread-safe.
 */
public final class AccessRules {
    private AccessRules() {}

    /**
     * Checks an attempt against the settings.
     *
     * @param view the settings
     * @param claim what the attempt claims to be allowed
     * @param nowNanos the current time in nanoseconds since the Unix epoch
     * @return the refusal, or empty if the attempt may run
     */
    public static Optional<Refusal> check(SettingsView view, AccessClaim claim, long nowNanos) {
        Optional<RouteSettings> route = view.route(claim.route());
        if (route.isEmpty()) {
            return refuse(RefusalCode.NOT_FOUND, "no such route");
        }
        Optional<Refusal> customer = checkCustomer(view, route.get(), claim, nowNanos);
        if (customer.isPresent()) {
            return customer;
        }
        if (claim.adapter().isEmpty()) {
            return route.get().model().isEmpty()
                    ? Optional.empty()
                    : refuse(RefusalCode.NOT_FOUND, "the route needs an adapter");
        }
        return checkAdapter(view, route.get(), claim);
    }

    /**
     * Returns whether a key has reached its end date.
     *
     * @param nowNanos the current time in nanoseconds since the Unix epoch
     */
    public static boolean isExpired(KeySettings key, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos) >= key.endsAtEpochMillis();
    }

    private static Optional<Refusal> checkAdapter(
            SettingsView view, RouteSettings route, AccessClaim claim) {
        AdapterVersion wanted = claim.adapter().orElseThrow();
        Optional<AdapterSettings> adapter = view.adapter(wanted.adapter());
        if (adapter.isEmpty() || !adapter.get().model().equals(route.model())) {
            return refuse(RefusalCode.NOT_FOUND, "no such adapter on this route");
        }
        if (!mayUse(adapter.get().owner(), claim.customer())) {
            return refuse(RefusalCode.FORBIDDEN, "the adapter belongs to another customer");
        }
        if (!adapter.get().versions().contains(wanted.version())) {
            return refuse(RefusalCode.NOT_FOUND, "no such version of the adapter");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> checkCustomer(
            SettingsView view, RouteSettings route, AccessClaim claim, long nowNanos) {
        if (claim.keyId().isEmpty()) {
            return route.openToAll() && route.owner().equals(claim.customer())
                    ? Optional.empty()
                    : refuse(RefusalCode.UNAUTHENTICATED, "the route needs a key");
        }
        Optional<KeySettings> key = view.keyById(claim.keyId());
        if (key.isEmpty() || isExpired(key.get(), nowNanos)) {
            return refuse(RefusalCode.UNAUTHENTICATED, "the key is not valid");
        }
        if (!key.get().customer().equals(claim.customer())) {
            return refuse(RefusalCode.FORBIDDEN, "the key belongs to another customer");
        }
        if (!route.openToAll() && !mayUse(route.owner(), claim.customer())) {
            return refuse(RefusalCode.FORBIDDEN, "the route belongs to another customer");
        }
        return Optional.empty();
    }

    private static boolean mayUse(String owner, String customer) {
        return owner.isEmpty() || owner.equals(customer);
    }

    private static Optional<Refusal> refuse(RefusalCode code, String detail) {
        return Optional.of(Refusal.notRun(code, detail));
    }
}
