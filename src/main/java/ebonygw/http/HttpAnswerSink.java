package ebonygw.http;

import com.google.protobuf.ByteString;
import java.util.Map;

/**
 * Takes the answer of one call: a start, any number of parts, then an end; or a failure instead of
 * the rest. Called on the client's IO thread, which it must not block.
 */
public interface HttpAnswerSink {
    /** The answer is whole. */
    void ended();

    /** No whole answer will come. */
    void failed(HttpFailure failure);

    /** The next bytes of the body, never empty. */
    void part(ByteString data);

    /**
     * The answer starts.
     *
     * @param status HTTP status
     * @param headers header fields to pass on, names in lower case, without hop-by-hop fields
     */
    void started(int status, Map<String, String> headers);
}
