package ebonygw.retry;

import ebonygw.request.Refusal;
import java.util.Objects;

/** What to do after an attempt that gave no whole answer. */
public sealed interface RetryDecision {
    /**
     * Tells the caller.
     *
     * @param refusal what to tell
     */
    record GiveUp(Refusal refusal) implements RetryDecision {
        /** Creates the decision. */
        public GiveUp {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /** Tries another target; those tried before are left out. */
    record TryElsewhere() implements RetryDecision {}
}
