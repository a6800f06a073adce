package ebonygw.settings;

import java.util.List;
import java.util.Objects;

/**
 * An accepted change as it stands in the log.
 *
 * @param revision its place in the log, 1 for the first
 * @param previousId identifier of the change before it, empty for the first
 * @param change the change
 * @param undo steps that take it back, for a change on top of it
 * @param revertible whether {@code undo} takes all of it back
 */
public record ChangeRecord(
        long revision,
        String previousId,
        SettingsChange change,
        List<Edit> undo,
        boolean revertible) {
    /**
     * Creates a record.
     *
     * @throws IllegalArgumentException if the revision is below 1
     */
    public ChangeRecord {
        Objects.requireNonNull(previousId, "previousId");
        Objects.requireNonNull(change, "change");
        undo = List.copyOf(undo);
        if (revision < 1) {
            throw new IllegalArgumentException("revision below 1: " + revision);
        }
    }
}
