package ebonygw.settings;

import java.util.List;
import java.util.Objects;

/**
 * A change of the settings, which is applied atomically.
 *
 * @param id identifier, unique among all changes ever made
 * @param author who made it
 * @param comment human-readable purpose of the change
 * @param baseRevision revision that its author had seen; the change conflicts if that is not the
 *     newest one. Negative to apply it to the newest revision, whichever that is
 * @param atEpochMillis when it was submitted, in milliseconds since the Unix epoch
 * @param edits its edits, in the order in which they are applied
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
