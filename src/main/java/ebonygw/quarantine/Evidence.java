package ebonygw.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * What entries tell each other about prompt parts under which targets have ended.
 *
 * <p>Applying it twice, late or out of order does no harm.
 *
 * @param parts what happened under combinations of parts, and survivals of single parts
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
     * Evidence about the parts that one prompt holds.
     *
     * @param parts the parts
     * @param crashed targets that have ended under a response to such a prompt
     * @param broken targets that broke off such a response; they may not have ended
     * @param survivals survivals that entries have observed, one value for each entry; only for a
     *     single part, whatever else prompts with it hold
     */
    public record PartEvidence(
            PartSet parts,
            List<Sighting> crashed,
            List<Sighting> broken,
            List<Survivals> survivals) {
        /** Creates evidence with copies of the lists. */
        public PartEvidence {
            Objects.requireNonNull(parts, "parts");
            crashed = List.copyOf(crashed);
            broken = List.copyOf(broken);
            survivals = List.copyOf(survivals);
        }
    }

    /**
     * Numbers of responses that one entry has seen and that their targets survived.
     *
     * @param observer identifies a start of the entry's process
     * @param sequence grows with each change of the numbers
     * @param count number of recent ones, limited
     * @param remembered number over a longer time, limited
     * @param ageNanos time since the numbers were set, not negative
     */
    public record Survivals(
            long observer, long sequence, int count, int remembered, long ageNanos) {}
}
