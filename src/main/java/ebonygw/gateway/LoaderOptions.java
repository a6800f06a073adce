package ebonygw.gateway;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link LoaderNode}.
 *
 * @param name name of this process
 * @param service service of its replica
 * @param address IP address and port of its replica
 * @param reader reads the values that operators write to the key-value service
 * @param leaseNanos maximum time in which a replaced loader detects its replacement; a fenced
 *     loader waits twice as long before it requests a new token
 * @param fencingEnforced whether replicas reject orders with a lower fencing token than they have
 *     seen
 * @param idleReadIntervalNanos interval of status reads while nothing is being loaded
 * @param busyReadIntervalNanos interval of status reads while something is being loaded
 */
public record LoaderOptions(
        String name,
        String service,
        String address,
        StoreReader reader,
        long leaseNanos,
        boolean fencingEnforced,
        long idleReadIntervalNanos,
        long busyReadIntervalNanos) {
    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a time is not positive
     */
    public LoaderOptions {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(reader, "reader");
        if (leaseNanos <= 0 || idleReadIntervalNanos <= 0 || busyReadIntervalNanos <= 0) {
            throw new IllegalArgumentException(
                    "leaseNanos, idleReadIntervalNanos and busyReadIntervalNanos must be positive: "
                            + leaseNanos
                            + ", "
                            + idleReadIntervalNanos
                            + ", "
                            + busyReadIntervalNanos);
        }
    }

    /** Returns options with the read intervals for production, for replicas that check tokens. */
    public static LoaderOptions of(
            String name, String service, String address, StoreReader reader, long leaseNanos) {
        return new LoaderOptions(
                name,
                service,
                address,
                reader,
                leaseNanos,
                true,
                TimeUnit.MILLISECONDS.toNanos(150),
                TimeUnit.MILLISECONDS.toNanos(30));
    }

    /** Returns a copy of these options for replicas that check fencing tokens or do not. */
    public LoaderOptions withFencingEnforced(boolean enforced) {
        return new LoaderOptions(
                name,
                service,
                address,
                reader,
                leaseNanos,
                enforced,
                idleReadIntervalNanos,
                busyReadIntervalNanos);
    }
}
