package ebonygw.settings;

import java.util.Objects;

/**
 * Why a change is refused.
 *
 * @param subject what it is about, such as a node
 * @param detail what is wrong, for people
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
