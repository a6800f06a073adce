package ebonygw.process;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import java.util.function.Consumer;

/** Carries key-value calls to the service. */
@FunctionalInterface
public interface KeyValueCaller {
    /**
     * Starts a call; never blocks.
     *
     * @param callId its identifier
     * @param call the call
     * @param reply gets the reply, or each one of a watch, on any thread
     */
    void call(long callId, KeyValueCall call, Consumer<KeyValueReply> reply);
}
