package ebonygw.admission;

import java.util.Objects;

/**
 * The outcome of a request's check against its customer's rate and burst.
 *
 * @param retryAfterNanos after how long the same request may succeed, in nanoseconds; 0 unless the
 *     outcome is {@link Outcome#OVER_RATE}
 */
public record Admission(Outcome outcome, long retryAfterNanos) {
    /** The request is charged and may run. */
    public static final Admission ADMITTED = new Admission(Outcome.ADMITTED, 0);

    /** The request costs more than its customer's burst, so it can never be admitted. */
    public static final Admission EXCEEDS_BURST = new Admission(Outcome.EXCEEDS_BURST, 0);

    /** The request waits for tokens; an {@link AdmissionDecision} follows. */
    public static final Admission WAITING = new Admission(Outcome.WAITING, 0);

    /**
     * Creates an admission.
     *
     * @throws NullPointerException if {@code outcome} is null
     */
    public Admission {
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns a refusal because the customer is over its rate. */
    public static Admission overRate(long retryAfterNanos) {
        return new Admission(Outcome.OVER_RATE, retryAfterNanos);
    }

    /** The kinds of outcome. */
    public enum Outcome {
        /** The request is charged and may run. */
        ADMITTED,
        /** The request costs more than the customer's burst; retrying does not help. */
        EXCEEDS_BURST,
        /** The customer is over its rate; retrying later may succeed. */
        OVER_RATE,
        /** The request waits for tokens; an {@link AdmissionDecision} follows. */
        WAITING
    }
}
