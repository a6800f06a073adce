package ebonygw.access;

import ebonygw.request.AdapterVersion;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.KeySettings;
import ebonygw.settings.RouteSettings;
import ebonygw.settings.SettingsView;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Resolves a caller's request to its customer, route and exact adapter version.
 *
 * <p>Thread-safe.
 */
public final class RequestResolver {
    private static final char VERSION_SEPARATOR = '@';

    private RequestResolver() {}

    /**
     * Resolves a request and checks that it may run.
     *
     * @param request the caller's request
     * @param view the settings
     * @param nowNanos the current time in nanoseconds since the Unix epoch
     * @return the resolved request, or the refusal
     */
    public static Either<Refusal, ResolvedRequest> resolve(
            CallerRequest request, SettingsView view, long nowNanos) {
        Optional<KeySettings> key = view.keyByHash(request.keyHash());
        Optional<RouteSettings> route = view.route(request.route());
        if (key.isEmpty() && (hasKey(request) || route.isEmpty() || !route.get().openToAll())) {
            return refuse(RefusalCode.UNAUTHENTICATED, "a valid key is needed");
        }
        if (route.isEmpty()) {
            return refuse(RefusalCode.NOT_FOUND, "no such route");
        }
        String customerName = key.map(KeySettings::customer).orElse(route.get().owner());
        Optional<CustomerSettings> customer = view.customer(customerName);
        if (customer.isEmpty()) {
            return refuse(RefusalCode.FORBIDDEN, "the customer is not served");
        }
        ResolvedRequest resolved = assemble(request, view, customer.get(), key, route.get());
        AccessClaim claim =
                new AccessClaim(
                        customerName, resolved.keyId(), route.get().route(), resolved.version());
        Optional<Refusal> refusal = AccessRules.check(view, claim, nowNanos);
        return refusal.<Either<Refusal, ResolvedRequest>>map(Either::left)
                .orElseGet(() -> Either.right(resolved));
    }

    private static ResolvedRequest assemble(
            CallerRequest request,
            SettingsView view,
            CustomerSettings customer,
            Optional<KeySettings> key,
            RouteSettings route) {
        Optional<AdapterSettings> adapter = Optional.empty();
        Optional<AdapterVersion> version = Optional.empty();
        if (!route.model().isEmpty() && !request.model().isEmpty()) {
            adapter = view.adapter(adapterName(request.model()));
            version = Optional.of(version(request.model(), adapter));
        }
        String keyId = key.map(KeySettings::keyId).orElse("");
        return new ResolvedRequest(customer, keyId, route, adapter, version);
    }

    private static String adapterName(String model) {
        int at = model.lastIndexOf(VERSION_SEPARATOR);
        return at < 0 ? model : model.substring(0, at);
    }

    private static boolean hasKey(CallerRequest request) {
        return !request.keyHash().isEmpty();
    }

    private static Either<Refusal, ResolvedRequest> refuse(RefusalCode code, String detail) {
        return Either.left(Refusal.notRun(code, detail));
    }

    private static AdapterVersion version(String model, Optional<AdapterSettings> adapter) {
        int at = model.lastIndexOf(VERSION_SEPARATOR);
        String name = adapterName(model);
        String version =
                at < 0
                        ? adapter.map(AdapterSettings::defaultVersion).orElse("")
                        : model.substring(at + 1);
        return new AdapterVersion(name, version);
    }
}
