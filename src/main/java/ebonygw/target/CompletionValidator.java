package ebonygw.target;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Checks the response to a completion request: whether it is complete and how many tokens it used.
 *
 * <p>Keeps only the last {@code TAIL_BYTES} bytes of the body. A streamed response is complete if
 * it ends with the {@code [DONE]} event.
 */
final class CompletionValidator implements TargetRequests.ResponseValidator {
    private static final int TAIL_BYTES = 4096;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;
    private static final String DONE = "data: [DONE]";
    private static final String USAGE = "\"usage\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ByteString mTail = ByteString.EMPTY;
    private boolean mEventStream;

    @Override
    public String headFault(int status, Map<String, String> headers) {
        mEventStream = headers.getOrDefault("content-type", "").startsWith("text/event-stream");
        boolean unusable =
                status >= SERVER_ERROR || status == NOT_FOUND || status == TOO_MANY_REQUESTS;
        return unusable ? "the engine answered with status " + status : "";
    }

    @Override
    public boolean isComplete() {
        return !mEventStream
                || mTail.toString(StandardCharsets.UTF_8).stripTrailing().endsWith(DONE);
    }

    @Override
    public void part(ByteString data) {
        ByteString all = mTail.concat(data);
        mTail = all.size() <= TAIL_BYTES ? all : all.substring(all.size() - TAIL_BYTES);
    }

    @Override
    public long tokensUsed() {
        String tail = mTail.toString(StandardCharsets.UTF_8);
        int usage = tail.lastIndexOf(USAGE);
        int brace = usage < 0 ? -1 : tail.indexOf('{', usage);
        if (brace < 0 || !tail.substring(usage + USAGE.length(), brace).strip().equals(":")) {
            return -1;
        }
        try (JsonParser parser = MAPPER.createParser(tail.substring(brace))) {
            JsonNode node = parser.readValueAsTree();
            return node.path("total_tokens").asLong(-1);
        } catch (IOException cause) {
            Logger.debug("event=usage_unreadable cause=\"{}\"", cause);
            return -1;
        }
    }
}
