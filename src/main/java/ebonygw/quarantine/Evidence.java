package ebonygw.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * What entries tell each other about prompt parts under which targets have ended.
 *
 * <p>Applying it twice, late or out of order does no harm.
 *
 * @param parts the parts, each at most once
 * @param endedTargets incarnations of targets that have ended
 */
public record Evidence(List<PartEvidence> parts, List<String> endedTargets) {
    /** Creates evidence with copies of the lists. */
    public Evidence {
        parts = List.copyOf(parts);
        endedTargets = List.copyOf(endedTargets);
    }

    /** Returns whether there is nothing to tell. */
    public boolean isEmpty() {
        return parts.isEmpty() && endedTargets.isEmpty();
    }

    /**
     * Evidence about one part.
     *
     * @param part id of the part
     * @param crashed incarnations of targets that have ended under the part
     * @param broken incarnations whose responses broke off under the part; they may not have ended
     * @param survivals survivals that entries have observed, one value for each entry
     */
    public record PartEvidence(
            String part, List<String> crashed, List<String> broken, List<Survivals> survivals) {
        /** Creates evidence with copies of the lists. */
        public PartEvidence {
            Objects.requireNonNull(part, "part");
            crashed = List.copyOf(crashed);
            broken = List.copyOf(broken);
            survivals = List.copyOf(survivals);
        }
    }

    /**
     * Number of recent responses that one entry has seen and that their targets survived.
     *
     * @param observer identifies a start of the entry's process
     * @param sequence grows with each change of the count
     * @param count the number, limited
     */
    public record Survivals(long observer, long sequence, int count) {}
}
