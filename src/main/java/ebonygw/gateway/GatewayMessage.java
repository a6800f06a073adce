package ebonygw.gateway;

import ebonygw.protocol.Message;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Messages between entries that forward to targets directly and the loaders of the targets. */
public sealed interface GatewayMessage extends Message {
    /**
     * Demand of an entry for one adapter at one replica.
     *
     * @param adapter the adapter as MODEL/ADAPTER
     * @param version minimum version that the waiting requests may run on, 0 for any
     * @param waiting number of requests that wait until it is loaded
     * @param punctual number of waiting requests that can still meet their latency objective
     * @param running number of requests that were sent and have not ended
     * @param sent number of requests sent since the last message
     */
    record AdapterNeed(
            String adapter, long version, int waiting, int punctual, int running, int sent) {
        /** Creates the need. */
        public AdapterNeed {
            Objects.requireNonNull(adapter, "adapter");
        }
    }

    /**
     * Demand of the sender for all adapters at the receiver's replica. Sent from an entry to a
     * loader; replaces the sender's last message of this kind.
     *
     * @param needs the needs, one for each adapter
     */
    record AdapterNeeds(List<AdapterNeed> needs) implements GatewayMessage {
        /** Creates the message. */
        public AdapterNeeds {
            needs = List.copyOf(needs);
        }
    }

    /**
     * Number of open adapter slots at the sender's replica. Sent from a loader to the entries.
     *
     * @param count adapters that can be loaded at once, negative if adapters wait for a slot
     */
    record OpenAdapterSlots(int count) implements GatewayMessage {}

    /**
     * Tokens charged by the sender since its last message of this kind. Sent between entries.
     *
     * @param tokensByCustomer tokens by customer, negative if more was refunded than charged
     */
    record Usage(Map<String, Long> tokensByCustomer) implements GatewayMessage {
        /** Creates the message. */
        public Usage {
            tokensByCustomer = Map.copyOf(tokensByCustomer);
        }
    }
}
