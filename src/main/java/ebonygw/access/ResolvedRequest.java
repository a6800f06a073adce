package ebonygw.access;

import ebonygw.request.AdapterVersion;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.RouteSettings;
import java.util.Optional;

/**
 * A caller's request with the settings that apply to it.
 *
 * @param customer settings of the customer for whom it runs
 * @param keyId identifier of the presented key, empty if none
 * @param route settings of the route
 * @param adapter settings of the adapter, empty for plain services
 * @param version exact adapter version, empty for plain services
 */
public record ResolvedRequest(
        CustomerSettings customer,
        String keyId,
        RouteSettings route,
        Optional<AdapterSettings> adapter,
        Optional<AdapterVersion> version) {}
