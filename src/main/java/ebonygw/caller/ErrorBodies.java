package ebonygw.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.request.Refusal;
import java.util.Locale;

/** Creates the JSON bodies of error responses to callers. */
final class ErrorBodies {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private ErrorBodies() {}

    /** Returns the JSON error body of a refusal; {@code requestId} may be empty. */
    static String json(Refusal refusal, String requestId) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", refusal.code().name().toLowerCase(Locale.ROOT));
        error.put("message", refusal.detail());
        error.put("run", refusal.verdict().name().toLowerCase(Locale.ROOT));
        error.put("request_id", requestId);
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Returns the delay of a refusal in seconds, rounded up, 0 for none. */
    static long retryAfterSeconds(Refusal refusal) {
        return (Math.max(0, refusal.retryAfterNanos()) + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND;
    }
}
