package ebonygw.admission;

import java.util.Objects;

/**
 * The decision about a request that waited.
 *
 * @param ticket its ticket
 * @param admission the decision, never {@link Admission#WAITING}
 */
public record AdmissionDecision(long ticket, Admission admission) {
    /**
     * Creates a decision.
     *
     * @throws NullPointerException if {@code admission} is null
     */
    public AdmissionDecision {
        Objects.requireNonNull(admission, "admission");
    }
}
