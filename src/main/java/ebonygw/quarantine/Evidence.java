package ebonygw.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * What entries tell each other about prompt parts under which targets have ended.
 *
 * <p>Applying it twice, late or out of order does no harm.
 *
 * @param parts the parts, each at most once
 * @param endedTargets targets that have ended
 */
public record Evidence(List<PartEvidence> parts, List<Sighting> endedTargets) {
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
     * What happened to a target.
     *
     * @param target its incarnation
     * @param ageNanos time since then, not negative; it does not start anew when it is passed on
     */
    public record Sighting(String target, long ageNanos) {
        /** Creates a sighting. */
        public Sighting {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Evidence about one part.
     *
     * @param part id of the part
     * @param crashed targets that have ended under the part
     * @param broken targets whose responses broke off under the part; they may not have ended
     * @param survivals survivals that entries have observed, one value for each entry
     */
    public record PartEvidence(
            String part, List<Sighting> crashed, List<Sighting> broken, List<Survivals> survivals) {
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
     * @param ageNanos time since the count was set, not negative
     */
    public record Survivals(long observer, long sequence, int count, long ageNanos) {}
}
