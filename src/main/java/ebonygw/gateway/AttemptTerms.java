package ebonygw.gateway;

import java.util.Objects;

/**
 * What an attempt adds to a request.
 *
 * @param number number of the attempt, 1 for the first
 * @param instance the instance that has to run it
 * @param address its IP number and port
 * @param maxConnections most connections that the target takes from all callers together
 * @param customer the customer that it runs for, empty on a route open to all
 * @param priority rank among the requests of the target, 0 first
 * @param adapterVersion version of the adapter that has to run it, 0 for any
 * @param leftNanos time left until the deadline
 */
public record AttemptTerms(
        int number,
        String instance,
        String address,
        int maxConnections,
        String customer,
        int priority,
        long adapterVersion,
        long leftNanos) {
    /** Creates terms. */
    public AttemptTerms {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(customer, "customer");
    }
}
