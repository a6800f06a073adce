package ebonygw.gateway;

import ebonygw.protocol.Message;
import java.util.Map;

/** Messages between the entries of a direct gateway. */
public sealed interface GatewayMessage extends Message {
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
