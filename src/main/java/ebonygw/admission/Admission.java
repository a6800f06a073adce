package ebonygw.admission;

import java.util.Objects;

/**
 * What became of a request's wish for tokens.
 *
 * @param outcome the outcome
 * @param retryAfterNanos after how long the same request may succeed, 0 unless over the rate
 */
public record Admission(Outcome outcome, long retryAfterNanos) {
    /** The request is charged and may run. */
    public static final Admission ADMITTED = new Admission(Outcome.ADMITTED, 0);

    /** The request alone costs more than its customer's burst, so it can never run. */
    public static final Admission EXCEEDS_BURST = new Admission(Outcome.EXCEEDS_BURST, 0);

    /** The request waits; its decision follows. */
    public static final Admission WAITING = new Admission(Outcome.WAITING, 0);

    /**
     * Creates an admission.
     *
     * @throws NullPointerException if {@code outcome} is null
     */
    public Admission {
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns a refusal for the customer's rate. */
    public static Admission overRate(long retryAfterNanos) {
        return new Admission(Outcome.OVER_RATE, retryAfterNanos);
    }

    /** The kinds of outcome. */
    public enum Outcome {
        /** Charged; the request may run. */
        ADMITTED,
        /** Costs more than the whole burst; permanent. */
        EXCEEDS_BURST,
        /** The customer is over its rate. */
        OVER_RATE,
        /** Waits for tokens; the decision follows. */
        WAITING
    }
}
