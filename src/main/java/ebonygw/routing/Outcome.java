package ebonygw.routing;

import ebonygw.request.Refusal;
import java.util.Objects;

/** How an attempt ended at its target, as seen by the entry. */
public sealed interface Outcome {
    /**
     * The complete response was received.
     *
     * @param latencyNanos time from sending the attempt to the end of its response
     */
    record Completed(long latencyNanos) implements Outcome {}

    /** The caller disconnected or the entry cancelled the attempt; not counted for health. */
    record Cancelled() implements Outcome {}

    /** The response was cut off, the connection was lost or the target responded with an error. */
    record Failed() implements Outcome {}

    /**
     * The target's process refused the attempt.
     *
     * @param refusal the reason, not null
     */
    record Refused(Refusal refusal) implements Outcome {
        /** Creates the outcome. */
        public Refused {
            Objects.requireNonNull(refusal, "refusal");
        }
    }
}
