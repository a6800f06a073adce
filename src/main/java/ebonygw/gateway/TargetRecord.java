package ebonygw.gateway;

import ebonygw.protocol.Locality;
import java.util.Map;
import java.util.Objects;

/**
 * A target as it is registered.
 *
 * @param id its instance, new at most starts
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch, 0 if not known
 * @param service the service that it runs
 * @param address IP number and port
 * @param locality where it runs
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param models version of each model that it holds
 * @param adapters version of each adapter that it holds, named MODEL/ADAPTER
 */
public record TargetRecord(
        String id,
        long startedAtMillis,
        String service,
        String address,
        Locality locality,
        int slots,
        boolean draining,
        Map<String, Long> models,
        Map<String, Long> adapters) {
    /** Creates a record. */
    public TargetRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(locality, "locality");
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /** Returns the IP number. */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns whether another record is of the same start of the same instance. */
    public boolean sameStart(TargetRecord other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
