package ebonygw.http;

import java.util.Objects;

/**
 * Framing and length of the body of a response, for logs and metrics.
 *
 * @param framing how the end of the body was determined
 * @param bytes length of the body, not negative
 */
public record BodySummary(Framing framing, long bytes) {
    /**
     * Creates a summary.
     *
     * @throws NullPointerException if {@code framing} is null
     */
    public BodySummary {
        Objects.requireNonNull(framing, "framing");
    }
}
