package ebonygw.admission;

import java.util.Objects;

/**
 * The decision on a request that waited for tokens.
 *
 * @param requestId id that the request was given at {@link ShareNode#admit}
 * @param admission the decision, never {@link Admission#WAITING}
 */
public record AdmissionDecision(long requestId, Admission admission) {
    /**
     * Creates a decision.
     *
     * @throws NullPointerException if {@code admission} is null
     */
    public AdmissionDecision {
        Objects.requireNonNull(admission, "admission");
    }
}
