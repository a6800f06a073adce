package ebonygw.gateway;

import java.util.Objects;

/**
 * Parameters of one attempt to run a request at a target.
 *
 * @param number ordinal of the attempt, 1 for the first
 * @param instance target instance that must run it
 * @param address IP address and port of the target
 * @param maxConnections maximum number of connections that this entry opens to the target
 * @param customer customer to charge, empty on a route open to all
 * @param priority scheduling priority at the target, 0 is the highest
 * @param adapterVersion minimum version of the adapter that must run it, 0 for any
 * @param remainingNanos time left until the deadline
 * @param maxConnectNanos longest time that the attempt may wait for a connection, after which it is
 *     withdrawn
 */
public record AttemptTerms(
        int number,
        String instance,
        String address,
        int maxConnections,
        String customer,
        int priority,
        long adapterVersion,
        long remainingNanos,
        long maxConnectNanos) {
    /** Maximum wait of an attempt that may wait until its deadline. */
    public static final long UNTIL_DEADLINE = Long.MAX_VALUE;

    /** Creates the parameters. */
    public AttemptTerms {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(customer, "customer");
    }

    /** Returns these parameters with another time left until the deadline. */
    public AttemptTerms withRemaining(long nanos) {
        return new AttemptTerms(
                number,
                instance,
                address,
                maxConnections,
                customer,
                priority,
                adapterVersion,
                nanos,
                maxConnectNanos);
    }
}
