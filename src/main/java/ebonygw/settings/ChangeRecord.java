package ebonygw.settings;

import java.util.List;
import java.util.Objects;

/**
 * An accepted change as recorded in the log.
 *
 * @param revision its position in the log, 1 for the first
 * @param previousId identifier of the change before it, empty for the first
 * @param change the change
 * @param undo edits that revert it, for use in a later change
 * @param revertible whether {@code undo} reverts all of it
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
            throw new IllegalArgumentException("revision must be at least 1: " + revision);
        }
    }
}
