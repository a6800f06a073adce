package ebonygw.process;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import java.util.function.Consumer;

/** Sends requests to the key-value service. */
@FunctionalInterface
public interface KeyValueCaller {
    /**
     * Sends a request; never blocks.
     *
     * @param requestId id of the request, for correlation
     * @param request the request
     * @param response receives the response, or each response of a watch, on any thread
     */
    void call(long requestId, KeyValueCall request, Consumer<KeyValueReply> response);
}
