package ebonygw.process;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import java.util.function.Consumer;

/** Sends requests to the key-value service. */
@FunctionalInterface
public interface KeyValueTransport {
    /**
     * Sends a request; never blocks.
     *
     * @param requestId id of the request, for correlation
     * @param request the request
     * @param response receives the response, or each response of a watch, on any thread
     */
    void send(long requestId, KeyValueRequest request, Consumer<KeyValueResponse> response);
}
