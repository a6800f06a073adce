package ebonygw.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Determines the edits that revert an accepted change. */
public final class Reversal {
    private Reversal() {}

    /**
     * Returns the edits that revert the change of a revision, to be applied to the present state.
     *
     * @param state the present state
     * @param revision the revision
     * @return the edits, or why the change cannot be reverted: it is no longer retained, it
     *     withdrew a key, or a later change edited the same field, node or key
     */
    public static Either<List<Reason>, List<Edit>> of(SettingsState state, long revision) {
        String subject = "revision/" + revision;
        Optional<LoggedChange> logged = state.logged(revision);
        if (logged.isEmpty()) {
            return Either.left(
                    List.of(new Reason(subject, "is not in the retained part of the log")));
        }
        ChangeRecord record = logged.get().record();
        List<Reason> reasons = new ArrayList<>();
        if (!record.revertible()) {
            reasons.add(new Reason(subject, "withdrew a key, which cannot be reverted"));
        }
        Set<String> revertedSubjects = subjects(record.undo());
        for (long later = revision + 1; later <= state.revision(); later++) {
            ChangeRecord laterChange = state.logged(later).orElseThrow().record();
            for (String edited : subjects(laterChange.change().edits())) {
                if (revertedSubjects.contains(edited)) {
                    reasons.add(new Reason(edited, "was edited again at revision " + later));
                }
            }
        }
        return reasons.isEmpty() ? Either.right(record.undo()) : Either.left(reasons);
    }

    private static String subject(Edit edit) {
        if (edit instanceof Edit.Assign assign) {
            return assign.node() + " " + assign.field().jsonName();
        }
        if (edit instanceof Edit.Clear clear) {
            return clear.node() + " " + clear.field().jsonName();
        }
        if (edit instanceof Edit.Create create) {
            return create.node().toString();
        }
        if (edit instanceof Edit.Move move) {
            return move.node().toString();
        }
        if (edit instanceof Edit.Remove remove) {
            return remove.node().toString();
        }
        if (edit instanceof Edit.IssueKey issue) {
            return "key/" + issue.key().keyId();
        }
        if (edit instanceof Edit.WithdrawKey withdraw) {
            return "key/" + withdraw.keyId();
        }
        return "staged";
    }

    private static Set<String> subjects(List<Edit> edits) {
        Set<String> subjects = new HashSet<>();
        edits.forEach(edit -> subjects.add(subject(edit)));
        return subjects;
    }
}
