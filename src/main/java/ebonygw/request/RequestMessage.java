package ebonygw.request;

import com.google.protobuf.ByteString;
import ebonygw.protocol.Message;
import java.util.Map;
import java.util.Objects;

/** Messages between an entry and a target process about one attempt of a request. */
public sealed interface RequestMessage extends Message {
    /** Returns the number of the attempt, from 1. */
    int attempt();

    /** Returns the request's identifier. */
    RequestId id();

    /**
     * A part of the response body; target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param index index of this part, from 0 without gaps
     * @param data the bytes
     */
    record Body(RequestId id, int attempt, long index, ByteString data) implements RequestMessage {}

    /**
     * Cancels the attempt; entry to target. The response is {@link Failed} if it has not ended.
     *
     * @param id the request
     * @param attempt the attempt
     */
    record Cancel(RequestId id, int attempt) implements RequestMessage {}

    /**
     * Allows the target to send more body parts (flow control); entry to target.
     *
     * @param id the request
     * @param attempt the attempt
     * @param parts number of further parts that may be sent
     */
    record Credit(RequestId id, int attempt, int parts) implements RequestMessage {}

    /**
     * The end of the response; target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param parts number of {@link Body} parts of the complete response
     * @param tokensUsed tokens used by prompt and response, -1 if unknown
     */
    record End(RequestId id, int attempt, long parts, long tokensUsed) implements RequestMessage {}

    /**
     * The attempt ended without a complete response; target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param refusal why it ended, and whether it may have run; not null
     */
    record Failed(RequestId id, int attempt, Refusal refusal) implements RequestMessage {
        /** Creates the message. */
        public Failed {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /**
     * The start of the response; target to entry.
     *
     * @param id the request
     * @param attempt the attempt
     * @param status HTTP status of the target's response
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
     * Requests that the target run an attempt; entry to target.
     *
     * @param work the attempt
     * @param timeoutNanos time left until the deadline when the message was sent
     * @param credit number of {@link Body} parts that may be sent before the first {@link Credit}
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
