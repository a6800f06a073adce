package ebonygw.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Works out the edits that take an accepted change back. */
public final class Reversal {
    private Reversal() {}

    /**
     * Returns the edits that take the change of a revision back on top of the present state.
     *
     * @param state the present state
     * @param revision the revision
     * @return the edits, or why it cannot be taken back: it is no longer kept, it withdrew a key,
     *     or a later change touched the same
     */
    public static Either<List<Reason>, List<Edit>> of(SettingsState state, long revision) {
        String subject = "revision/" + revision;
        Optional<LoggedChange> logged = state.logged(revision);
        if (logged.isEmpty()) {
            return Either.left(List.of(new Reason(subject, "is not in the log that is kept")));
        }
        ChangeRecord record = logged.get().record();
        List<Reason> reasons = new ArrayList<>();
        if (!record.revertible()) {
            reasons.add(new Reason(subject, "withdrew a key, which cannot be given back"));
        }
        Set<String> own = subjects(record.undo());
        for (long later = revision + 1; later <= state.revision(); later++) {
            ChangeRecord other = state.logged(later).orElseThrow().record();
            for (String touched : subjects(other.change().edits())) {
                if (own.contains(touched)) {
                    reasons.add(new Reason(touched, "was touched again at revision " + later));
                }
            }
        }
        return reasons.isEmpty() ? Either.right(record.undo()) : Either.left(reasons);
    }

    private static String subject(Edit edit) {
        if (edit instanceof Edit.Assign assign) {
            return assign.node() + " " + assign.field().word();
        }
        if (edit instanceof Edit.Clear clear) {
            return clear.node() + " " + clear.field().word();
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
