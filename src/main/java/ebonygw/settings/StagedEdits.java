package ebonygw.settings;

import ebonygw.protocol.Locality;
import java.util.List;
import java.util.Set;

/**
 * Edits that are in force only in a part of the fleet, until they are promoted or abandoned.
 *
 * @param where regions, and data centres as {@code region/dataCenter}, in which they are in force
 * @param edits the edits, which only set or clear fields
 * @param held whether they are suspended, so that they are in force nowhere
 * @param revision revision that staged them
 */
public record StagedEdits(Set<String> where, List<Edit> edits, boolean held, long revision) {
    /** Creates the edits. */
    public StagedEdits {
        where = Set.copyOf(where);
        edits = List.copyOf(edits);
    }

    /** Returns whether they are in force at a locality; false if it is null. */
    public boolean inForceAt(Locality locality) {
        return !held
                && locality != null
                && (where.contains(locality.region())
                        || where.contains(locality.region() + "/" + locality.dataCenter()));
    }

    /** Returns the same edits, held or in force. */
    StagedEdits withHeld(boolean value) {
        return new StagedEdits(where, edits, value, revision);
    }
}
