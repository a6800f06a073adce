package ebonygw.routing;

import ebonygw.request.Refusal;
import java.util.Objects;

/** How an attempt ended at its target, as the entry learnt it. */
public sealed interface Outcome {
    /**
     * A whole answer.
     *
     * @param latencyNanos time from sending the attempt to the end of its answer
     */
    record Answered(long latencyNanos) implements Outcome {}

    /** The caller left or the entry gave the attempt up; says nothing about the target. */
    record Cancelled() implements Outcome {}

    /** The answer broke off, the connection was lost or the target answered with a fault. */
    record Failed() implements Outcome {}

    /**
     * The target's process refused.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements Outcome {
        /** Creates the outcome. */
        public Refused {
            Objects.requireNonNull(refusal, "refusal");
        }
    }
}
