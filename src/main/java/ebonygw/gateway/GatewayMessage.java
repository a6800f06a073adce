package ebonygw.gateway;

import ebonygw.protocol.Message;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Messages between the entries and loaders of a direct gateway. */
public sealed interface GatewayMessage extends Message {
    /**
     * What an entry needs of one adapter.
     *
     * @param adapter the adapter as MODEL/ADAPTER
     * @param version least version that the waiting requests may run on, 0 for any
     * @param waiting requests that wait until it is loaded
     * @param punctual those of them that can still start within their latency objective
     * @param running requests that were sent and have not ended
     * @param sent requests sent since the last message
     */
    record AdapterNeed(
            String adapter, long version, int waiting, int punctual, int running, int sent) {
        /** Creates the need. */
        public AdapterNeed {
            Objects.requireNonNull(adapter, "adapter");
        }
    }

    /**
     * All that the sender needs of the receiver's replica, entry to loader; replaces its last
     * message of this kind.
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
     * How many more adapters the sender's replica has places for, loader to entry.
     *
     * @param count adapters that can be placed at once, below 0 if some wait for a place
     */
    record OpenPlaces(int count) implements GatewayMessage {}

    /**
     * Tokens charged by the sender since its last message of this kind.
     *
     * @param tokensByCustomer tokens by customer, below 0 if more was given back than charged
     */
    record Usage(Map<String, Long> tokensByCustomer) implements GatewayMessage {
        /** Creates the message. */
        public Usage {
            tokensByCustomer = Map.copyOf(tokensByCustomer);
        }
    }
}
