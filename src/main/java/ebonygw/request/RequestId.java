package ebonygw.request;

import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * Identifies a request uniquely in the fleet.
 *
 * @param entry the entry process that accepted the request from its caller
 * @param incarnation the incarnation of that process, which increases with each restart
 * @param sequence sequence number of the request in that incarnation, from 1
 */
public record RequestId(NodeId entry, long incarnation, long sequence) {
    /**
     * Creates an identifier.
     *
     * @throws NullPointerException if {@code entry} is null
     */
    public RequestId {
        Objects.requireNonNull(entry, "entry");
    }

    @Override
    public String toString() {
        return entry.name() + "-" + Long.toString(incarnation, 36) + "-" + sequence;
    }
}
