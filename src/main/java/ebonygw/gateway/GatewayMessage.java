package ebonygw.gateway;

import ebonygw.protocol.Message;
import java.util.Map;

/** Messages between the entries and loaders of a direct gateway. */
public sealed interface GatewayMessage extends Message {
    /**
     * Requests that the sender has sent to the receiver's replica, entry to loader.
     *
     * @param requestsByAdapter requests since its last message of this kind by adapter, 0 for one
     *     whose earlier requests still run
     */
    record AdapterUse(Map<String, Integer> requestsByAdapter) implements GatewayMessage {
        /** Creates the message. */
        public AdapterUse {
            requestsByAdapter = Map.copyOf(requestsByAdapter);
        }
    }

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
