package ebonygw.settings;

import java.util.Objects;

/**
 * A reason to refuse a change.
 *
 * @param subject what the reason applies to, such as a node
 * @param detail human-readable description of what is wrong
 */
public record Reason(String subject, String detail) {
    /** Creates a reason. */
    public Reason {
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public String toString() {
        return subject + ": " + detail;
    }
}
