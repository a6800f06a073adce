package ebonygw.overload;

import ebonygw.scheduling.FairQueue;
import java.util.Objects;

/**
 * A request that an entry holds until a target has capacity for it.
 *
 * @param exchange identifies it within the entry
 * @param service name of its service
 * @param customer name of its customer, empty for none
 * @param priority scheduling priority, 0 is the most urgent
 * @param charge work in tokens; 1 for a request of a plain service
 * @param bytes size of its body
 * @param deadlineNanos when its response must be complete
 */
public record HeldRequest(
        long exchange,
        String service,
        String customer,
        int priority,
        long charge,
        long bytes,
        long deadlineNanos)
        implements FairQueue.Work {
    /**
     * Creates a request.
     *
     * @throws NullPointerException if an argument is null
     */
    public HeldRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(customer, "customer");
    }
}
