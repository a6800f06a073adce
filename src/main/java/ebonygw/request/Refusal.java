package ebonygw.request;

import java.util.Objects;

/**
 * Why a request, or one attempt of it, got no complete response.
 *
 * @param code the stable code
 * @param verdict whether the request may have run
 * @param detail human-readable text, sent to the caller; must contain no secrets
 * @param retryAfterNanos time after which the same request may succeed, 0 if unknown
 */
public record Refusal(RefusalCode code, Verdict verdict, String detail, long retryAfterNanos) {
    /**
     * Creates a refusal.
     *
     * @throws NullPointerException if an argument is null
     */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a refusal of a request that may have run. */
    public static Refusal mayHaveRun(RefusalCode code, String detail) {
        return new Refusal(code, Verdict.MAY_HAVE_RUN, detail, 0);
    }

    /** Returns a refusal of a request that did not run. */
    public static Refusal notRun(RefusalCode code, String detail) {
        return new Refusal(code, Verdict.NOT_RUN, detail, 0);
    }

    /** Returns this refusal with a code whose status does not deny that the request has run. */
    public Refusal ofPossibleRun() {
        return new Refusal(code.ofPossibleRun(), verdict, detail, retryAfterNanos);
    }

    /** Returns this refusal with another verdict. */
    public Refusal withVerdict(Verdict other) {
        return new Refusal(code, other, detail, retryAfterNanos);
    }
}
