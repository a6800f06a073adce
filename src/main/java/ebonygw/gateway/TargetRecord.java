package ebonygw.gateway;

import ebonygw.protocol.Locality;
import ebonygw.targetlimit.ColdRemaining;
import java.util.Map;
import java.util.Objects;

/**
 * Registration of a target.
 *
 * @param id instance id; most restarts change it, but not all
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch, 0 if not known
 * @param service name of the service that it runs
 * @param address IP address and port
 * @param locality where it runs
 * @param slots maximum number of requests that it runs concurrently
 * @param draining whether it is about to stop and accepts no new requests
 * @param models version of each model that it holds
 * @param adapters version of each adapter that it holds, named MODEL/ADAPTER
 * @param coldRemaining time for which it will stay cold
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
        Map<String, Long> adapters,
        ColdRemaining coldRemaining) {
    /** Creates a record. */
    public TargetRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(locality, "locality");
        Objects.requireNonNull(coldRemaining, "coldRemaining");
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /** Creates a record that does not state how long the target stays cold. */
    public TargetRecord(
            String id,
            long startedAtMillis,
            String service,
            String address,
            Locality locality,
            int slots,
            boolean draining,
            Map<String, Long> models,
            Map<String, Long> adapters) {
        this(
                id,
                startedAtMillis,
                service,
                address,
                locality,
                slots,
                draining,
                models,
                adapters,
                ColdRemaining.MISSING);
    }

    /** Returns the name of this incarnation: the instance id and its start. */
    public String incarnation() {
        return incarnation(id, startedAtMillis);
    }

    /** Returns the name of an incarnation: its instance id and its start. */
    static String incarnation(String id, long startedAtMillis) {
        return id + '/' + startedAtMillis;
    }

    /** Returns the IP address. */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns a copy of this record with the time for which the target will stay cold. */
    public TargetRecord withColdRemaining(ColdRemaining remaining) {
        return new TargetRecord(
                id,
                startedAtMillis,
                service,
                address,
                locality,
                slots,
                draining,
                models,
                adapters,
                remaining);
    }

    /** Returns whether another record belongs to the same incarnation of this target. */
    public boolean isSameIncarnation(TargetRecord other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
