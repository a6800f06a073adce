package ebonygw.request;

import com.google.protobuf.ByteString;
import ebonygw.protocol.Message;
import java.util.Map;
import java.util.Objects;

/** Messages between an entry and a target process about one attempt of a request. */
public sealed interface RequestMessage extends Message {
    /** Returns the number of the attempt. */
    int attempt();

    /** Returns the request. */
    RequestId id();

    /**
     * Part of the answer's body, target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param index number of this part, from 0 without gaps
     * @param data the bytes
     */
    record Body(RequestId id, int attempt, long index, ByteString data) implements RequestMessage {}

    /**
     * Asks to stop the attempt, entry to target; answered by {@link Failed} if it has not ended.
     *
     * @param id the request
     * @param attempt the attempt
     */
    record Cancel(RequestId id, int attempt) implements RequestMessage {}

    /**
     * Lets the target send more parts, entry to target.
     *
     * @param id the request
     * @param attempt the attempt
     * @param parts how many more parts may be sent
     */
    record Credit(RequestId id, int attempt, int parts) implements RequestMessage {}

    /**
     * The answer's end, target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param parts how many {@link Body} parts the whole answer has
     * @param tokensUsed tokens used by prompt and answer, -1 if not known
     */
    record End(RequestId id, int attempt, long parts, long tokensUsed) implements RequestMessage {}

    /**
     * No whole answer will come, target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param refusal why, and whether it may have run
     */
    record Failed(RequestId id, int attempt, Refusal refusal) implements RequestMessage {
        /** Creates the message. */
        public Failed {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /**
     * The answer's start, target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param status HTTP status of the target
     * @param headers header fields, names in lower case
     */
    record Head(RequestId id, int attempt, int status, Map<String, String> headers)
            implements RequestMessage {
        /** Creates the message. */
        public Head {
            headers = Map.copyOf(headers);
        }
    }

    /**
     * Asks to run an attempt, entry to target.
     *
     * @param work the attempt
     * @param timeoutNanos time left until the deadline when it was sent
     * @param credit how many {@link Body} parts may be sent at first
     */
    record Run(Work work, long timeoutNanos, int credit) implements RequestMessage {
        @Override
        public int attempt() {
            return work.attempt();
        }

        @Override
        public RequestId id() {
            return work.id();
        }
    }
}
