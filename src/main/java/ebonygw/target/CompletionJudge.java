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
 * Judges the answer to a completion: whether it is whole, and the tokens it used.
 *
 * <p>It keeps the last bytes only. A streamed answer is whole if it ends with the done marker.
 */
final class CompletionJudge implements TargetCalls.AnswerJudge {
    private static final int TAIL_BYTES = 4096;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_FAULT = 500;
    private static final String DONE = "data: [DONE]";
    private static final String USAGE = "\"usage\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ByteString mTail = ByteString.EMPTY;
    private boolean mEvents;

    @Override
    public void part(ByteString data) {
        ByteString all = mTail.concat(data);
        mTail = all.size() <= TAIL_BYTES ? all : all.substring(all.size() - TAIL_BYTES);
    }

    @Override
    public String startFault(int status, Map<String, String> headers) {
        mEvents = headers.getOrDefault("content-type", "").startsWith("text/event-stream");
        boolean fault =
                status >= SERVER_FAULT || status == NOT_FOUND || status == TOO_MANY_REQUESTS;
        return fault ? "the engine answered with status " + status : "";
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

    @Override
    public boolean whole() {
        return !mEvents || mTail.toString(StandardCharsets.UTF_8).stripTrailing().endsWith(DONE);
    }
}
