package ebonygw.request;

import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * Identifies a request in the whole fleet.
 *
 * @param entry the entry process that took the request from its caller
 * @param incarnation that process's incarnation, greater after each restart
 * @param sequence number of the request in that incarnation, from 1
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
