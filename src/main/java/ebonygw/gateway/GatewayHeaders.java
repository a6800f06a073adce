package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.request.Refusal;
import ebonygw.targetlimit.NamedLimit;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;

/**
 * Translates between header fields of callers and targets and the types of a gateway.
 *
 * <p>Stateless and thread-safe. Names of header fields are in lower case.
 */
public interface GatewayHeaders {
    /**
     * Reads a caller's request.
     *
     * @param method HTTP method
     * @param host host name without a port
     * @param path path and query as they were sent
     * @param headers end-to-end header fields
     * @param body the complete body
     * @return the request, or why it is refused
     */
    Either<Refusal, GatewayRequest> read(
            String method, String host, String path, Map<String, String> headers, ByteString body);

    /**
     * Returns the name of the header field with the id of a request, which targets repeat in their
     * responses.
     */
    String requestIdField();

    /** Returns the header fields of an attempt. */
    Map<String, String> write(GatewayRequest request, AttemptTerms terms);

    /**
     * Reads the status and header fields of a target's response.
     *
     * @param status HTTP status
     * @param headers end-to-end header fields
     */
    ResponseHead parseResponse(int status, Map<String, String> headers);

    /**
     * Contents of the head of a response.
     *
     * @param signed whether the target vouches for the response with its signature
     * @param notRun whether the target states that it did not run the request
     * @param load load that the target reports, empty if not given
     * @param notice what else the target says about itself
     * @param limit limit that the target names
     */
    record ResponseHead(
            boolean signed,
            boolean notRun,
            Optional<TargetLoad> load,
            TargetNotice notice,
            NamedLimit limit) {}
}
