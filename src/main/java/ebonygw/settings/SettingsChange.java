package ebonygw.settings;

import java.util.List;
import java.util.Objects;

/**
 * A change of the settings, applied as a whole or not at all.
 *
 * @param id identifier, unique over all changes ever
 * @param author who made it
 * @param comment why, for people
 * @param baseRevision revision that its author had seen, negative for the newest one
 * @param atEpochMillis when it was submitted
 * @param edits its steps in order
 */
public record SettingsChange(
        String id,
        String author,
        String comment,
        long baseRevision,
        long atEpochMillis,
        List<Edit> edits) {
    /** Creates a change. */
    public SettingsChange {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(comment, "comment");
        edits = List.copyOf(edits);
    }
}
