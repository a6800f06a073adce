package ebonygw.settings;

import java.util.List;

/** What became of a submitted change. */
public sealed interface ChangeOutcome {
    /**
     * It is durable and goes to every process.
     *
     * @param revision its revision
     */
    record Accepted(long revision) implements ChangeOutcome {}

    /**
     * Others changed the settings since the revision that the author had seen; it has no effect.
     *
     * @param baseRevision revision that the author had seen
     * @param others the other changes, oldest first, as far as they are kept
     */
    record Conflict(long baseRevision, List<ChangeRecord> others) implements ChangeOutcome {
        /** Creates the outcome. */
        public Conflict {
            others = List.copyOf(others);
        }
    }

    /**
     * It is wrong; it has no effect.
     *
     * @param reasons all reasons against it
     */
    record Refused(List<Reason> reasons) implements ChangeOutcome {
        /** Creates the outcome. */
        public Refused {
            reasons = List.copyOf(reasons);
        }
    }

    /**
     * The key-value service could not settle it in time.
     *
     * @param mayHaveTakenEffect whether it may be in force, or come in force, all the same
     * @param detail text for people
     */
    record Unavailable(boolean mayHaveTakenEffect, String detail) implements ChangeOutcome {}
}
