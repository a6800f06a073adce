package ebonygw.http;

import com.google.protobuf.ByteString;
import java.util.Map;

/**
 * Receives the response to one request: {@link #started}, any number of {@link #part}s, then {@link
 * #ended}; a failure at any point replaces the remaining calls.
 *
 * <p>All methods are called on the client's IO thread, which they must not block.
 */
public interface HttpResponseHandler {
    /**
     * The response is complete.
     *
     * @param body framing and length of its body
     */
    void ended(BodySummary body);

    /** The request failed; no complete response was received. */
    void failed(HttpFailure failure);

    /** Returns the maximum length of the body in bytes; a longer response is given up. */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /**
     * The next bytes of the body arrived.
     *
     * @param data the bytes, never empty
     */
    void part(ByteString data);

    /**
     * The status and the header fields arrived.
     *
     * @param status HTTP status
     * @param headers end-to-end header fields, names in lower case
     */
    void started(int status, Map<String, String> headers);
}
