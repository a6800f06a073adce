package ebonygw.gateway;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link LoaderNode}.
 *
 * @param name name of this process
 * @param service service of its replica
 * @param address IP number and port of its replica
 * @param reader reads what operators write
 * @param leaseNanos how long another holder of orders may have to notice that it was replaced
 * @param idleReadNanos time between two reports while nothing is being loaded
 * @param busyReadNanos time between two reports while something is being loaded
 */
public record LoaderOptions(
        String name,
        String service,
        String address,
        StoreReader reader,
        long leaseNanos,
        long idleReadNanos,
        long busyReadNanos) {
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
        if (leaseNanos <= 0 || idleReadNanos <= 0 || busyReadNanos <= 0) {
            throw new IllegalArgumentException("a time is not positive");
        }
    }

    /** Returns options with the usual times between reports. */
    public static LoaderOptions of(
            String name, String service, String address, StoreReader reader, long leaseNanos) {
        return new LoaderOptions(
                name,
                service,
                address,
                reader,
                leaseNanos,
                TimeUnit.MILLISECONDS.toNanos(150),
                TimeUnit.MILLISECONDS.toNanos(30));
    }
}
