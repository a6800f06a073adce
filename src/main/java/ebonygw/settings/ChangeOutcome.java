package ebonygw.settings;

import java.util.List;

/** Outcome of a submitted change. */
public sealed interface ChangeOutcome {
    /**
     * The change is durable and is distributed to every process.
     *
     * @param revision its revision
     */
    record Accepted(long revision) implements ChangeOutcome {}

    /**
     * The settings have changed since the base revision of the change; it has no effect.
     *
     * @param baseRevision revision that its author had seen
     * @param others the changes since then, oldest first, as far as they are retained
     */
    record Conflict(long baseRevision, List<ChangeRecord> others) implements ChangeOutcome {
        /** Creates the outcome. */
        public Conflict {
            others = List.copyOf(others);
        }
    }

    /**
     * The change is invalid; it has no effect.
     *
     * @param reasons all reasons to refuse it
     */
    record Refused(List<Reason> reasons) implements ChangeOutcome {
        /** Creates the outcome. */
        public Refused {
            reasons = List.copyOf(reasons);
        }
    }

    /**
     * The key-value service was not available in time, or too many changes are queued.
     *
     * @param mayHaveTakenEffect whether the change may nevertheless be in force or come into force
     * @param detail human-readable explanation
     */
    record Unavailable(boolean mayHaveTakenEffect, String detail) implements ChangeOutcome {}
}
