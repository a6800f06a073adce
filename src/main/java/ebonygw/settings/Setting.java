package ebonygw.settings;

import java.util.Objects;

/**
 * A value set on a node.
 *
 * @param value the value
 * @param revision revision that set it
 */
public record Setting(FieldValue value, long revision) {
    /** Creates a setting. */
    public Setting {
        Objects.requireNonNull(value, "value");
    }
}
