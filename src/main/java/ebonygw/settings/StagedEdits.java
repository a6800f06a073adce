package ebonygw.settings;

import ebonygw.protocol.Locality;
import java.util.List;
import java.util.Set;

/**
 * Edits that are in force in a part of the fleet only, until they are promoted or abandoned.
 *
 * @param where regions, and data centres as {@code region/dataCenter}, in which they are in force
 * @param edits the edits, which only set or clear fields
 * @param held whether they are in force nowhere for now
 * @param revision revision that staged them
 */
public record StagedEdits(Set<String> where, List<Edit> edits, boolean held, long revision) {
    /** Creates the edits. */
    public StagedEdits {
        where = Set.copyOf(where);
        edits = List.copyOf(edits);
    }

    /** Returns whether they are in force at a place, null for an unknown one. */
    public boolean inForceAt(Locality place) {
        return !held
                && place != null
                && (where.contains(place.region())
                        || where.contains(place.region() + "/" + place.dataCenter()));
    }

    /** Returns the same edits, held or not. */
    StagedEdits withHeld(boolean value) {
        return new StagedEdits(where, edits, value, revision);
    }
}
