package ebonygw.retry;

import ebonygw.request.Refusal;
import java.util.Objects;

/** What to do after an attempt without a complete response. */
public sealed interface RetryDecision {
    /**
     * Reports the refusal to the caller.
     *
     * @param refusal the refusal, not null
     */
    record GiveUp(Refusal refusal) implements RetryDecision {
        /** Creates the decision. */
        public GiveUp {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /** Retries on a target that no earlier attempt was sent to. */
    record RetryOnOtherTarget() implements RetryDecision {}
}
