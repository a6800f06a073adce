package ebonygw.settings;

import ebonygw.protocol.Locality;
import ebonygw.request.AdapterVersion;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The settings at one revision: the tree, its effective view and the newest part of the log.
 *
 * <p>Immutable; the next revision shares what does not change. Thread-safe.
 */
public final class SettingsState {
    /** Settings before the first change. */
    public static final SettingsState EMPTY =
            new SettingsState(0, "", SettingsTree.EMPTY, EffectiveView.EMPTY, Vector.empty(), 0);

    private static final int MAX_HISTORY = 1024;
    private static final int MAX_HISTORY_BYTES = 1024 * 1024;

    private final long mRevision;
    private final String mLastId;
    private final SettingsTree mTree;
    private final EffectiveView mView;
    private final Vector<LoggedChange> mHistory;
    private final long mHistoryBytes;

    private SettingsState(
            long revision,
            String lastId,
            SettingsTree tree,
            EffectiveView view,
            Vector<LoggedChange> history,
            long historyBytes) {
        mRevision = revision;
        mLastId = lastId;
        mTree = tree;
        mView = view;
        mHistory = history;
        mHistoryBytes = historyBytes;
    }

    /** Returns the state of a whole tree, with an empty log. */
    static SettingsState of(long revision, String lastId, SettingsTree tree) {
        Map<NodeKey, Set<NodeKind>> all = new LinkedHashMap<>();
        Set<NodeKind> kinds = Set.of(NodeKind.values());
        tree.nodes().stream()
                .filter(node -> node.parent() == null)
                .forEach(node -> all.put(node.key(), kinds));
        Set<String> keys = new java.util.HashSet<>();
        tree.issuedKeys().forEach(key -> keys.add(key.settings().keyId()));
        EffectiveView view =
                new EffectiveCompiler(EffectiveView.EMPTY, tree).compile(revision, all, keys);
        return new SettingsState(revision, lastId, tree, view, Vector.empty(), 0);
    }

    /**
     * Applies an accepted change. Its effective settings were checked in combination when it was
     * accepted; that is not repeated here.
     *
     * @param change the change, which must be the next one
     * @return the next state, or the reasons why the change cannot be applied
     */
    public Either<List<Reason>, SettingsState> apply(LoggedChange change) {
        ChangeRecord record = change.record();
        if (record.revision() != mRevision + 1 || !record.previousId().equals(mLastId)) {
            return Either.left(
                    List.of(
                            new Reason(
                                    "revision/" + record.revision(),
                                    "does not follow revision "
                                            + mRevision
                                            + ": expected the previous change "
                                            + mLastId
                                            + ", got "
                                            + record.previousId())));
        }
        TreeEditor editor = new TreeEditor(mTree, record.revision());
        editor.apply(record.change().edits());
        if (!editor.reasons().isEmpty()) {
            return Either.left(editor.reasons());
        }
        EffectiveView view =
                new EffectiveCompiler(mView, editor.tree())
                        .compile(record.revision(), editor.touched(), editor.touchedKeys());
        Vector<LoggedChange> history = mHistory.append(change);
        long bytes = mHistoryBytes + change.stored().size();
        while (history.size() > MAX_HISTORY || (bytes > MAX_HISTORY_BYTES && history.size() > 1)) {
            bytes -= history.head().stored().size();
            history = history.tail();
        }
        return Either.right(
                new SettingsState(
                        record.revision(),
                        record.change().id(),
                        editor.tree(),
                        view,
                        history,
                        bytes));
    }

    /** Returns the newest part of the log, oldest first; it ends at {@link #revision()}. */
    public List<LoggedChange> history() {
        return mHistory.asJava();
    }

    /** Returns the identifier of the newest change, empty before the first. */
    public String lastId() {
        return mLastId;
    }

    /** Returns the logged change of a revision, empty if it is not in the retained part. */
    public Optional<LoggedChange> logged(long revision) {
        long index = revision - (mRevision - mHistory.size() + 1);
        if (index < 0 || index >= mHistory.size()) {
            return Optional.empty();
        }
        return Optional.of(mHistory.get((int) index));
    }

    /**
     * Validates a whole change as the next revision, without applying it.
     *
     * @param change the change; its base revision is not checked
     * @param inUse predicate of the adapter versions that run requests
     * @return its effects, or all reasons to refuse it
     */
    public Either<List<Reason>, Preview> preview(
            SettingsChange change, Predicate<AdapterVersion> inUse) {
        Objects.requireNonNull(change, "change");
        List<Reason> reasons = new ArrayList<>();
        if (change.edits().isEmpty()) {
            reasons.add(new Reason("change/" + change.id(), "has no edits"));
        }
        TreeEditor editor = new TreeEditor(mTree, mRevision + 1);
        editor.apply(change.edits());
        reasons.addAll(editor.reasons());
        EffectiveCompiler compiler = new EffectiveCompiler(mView, editor.tree());
        EffectiveView view =
                compiler.compile(mRevision + 1, editor.touched(), editor.touchedKeys());
        reasons.addAll(
                new CombinationChecks(editor.tree(), view, inUse)
                        .check(compiler.changes(), editor.touched()));
        List<EffectiveChange> effects = new ArrayList<>(compiler.changes());
        if (editor.reasons().isEmpty()) {
            previewStaged(change, editor.tree(), view, reasons, effects, inUse);
        }
        ChangeRecord record =
                new ChangeRecord(
                        mRevision + 1, mLastId, change, editor.undo(), editor.revertible());
        LoggedChange logged = new LoggedChange(record, SettingsJson.write(record));
        if (logged.stored().size() > SettingsJson.MAX_CHANGE_BYTES) {
            reasons.add(
                    new Reason(
                            "change/" + change.id(),
                            "has a stored form of "
                                    + logged.stored().size()
                                    + " bytes, maximum "
                                    + SettingsJson.MAX_CHANGE_BYTES
                                    + "; split it into smaller changes"));
        }
        if (!reasons.isEmpty()) {
            return Either.left(reasons);
        }
        return Either.right(new Preview(logged, effects));
    }

    /** Returns the revision, 0 before the first change. */
    public long revision() {
        return mRevision;
    }

    /** Returns the tree. */
    public SettingsTree tree() {
        return mTree;
    }

    /** Returns the effective view of processes in which no staged change is in force. */
    public SettingsView view() {
        return mView;
    }

    /**
     * Returns the effective view at a locality, including staged edits that are in force there;
     * null for an unknown locality, where none are.
     */
    public SettingsView viewAt(Locality locality) {
        Optional<StagedEdits> staged = mTree.staged().filter(edits -> edits.inForceAt(locality));
        if (staged.isEmpty()) {
            return mView;
        }
        TreeEditor editor = new TreeEditor(mTree, mRevision);
        editor.apply(staged.get().edits());
        return new EffectiveCompiler(mView, editor.tree())
                .compile(mRevision, editor.touched(), editor.touchedKeys());
    }

    /**
     * Returns the tree at an earlier revision. Keys are not restored: those withdrawn since then
     * stay withdrawn, and those issued since then appear as withdrawn.
     *
     * @return empty if the retained log does not reach back that far, or for a later revision
     */
    public Optional<SettingsTree> treeAt(long revision) {
        if (revision > mRevision || revision < mRevision - mHistory.size()) {
            return Optional.empty();
        }
        SettingsTree tree = mTree;
        for (long at = mRevision; at > revision; at--) {
            TreeEditor editor = new TreeEditor(tree, at);
            editor.apply(logged(at).orElseThrow().record().undo());
            tree = editor.tree();
        }
        return Optional.of(tree);
    }

    /** Validates the edits that a change stages as if they were in force everywhere. */
    private static void previewStaged(
            SettingsChange change,
            SettingsTree tree,
            EffectiveView view,
            List<Reason> reasons,
            List<EffectiveChange> effects,
            Predicate<AdapterVersion> inUse) {
        if (change.edits().stream().noneMatch(Edit.Stage.class::isInstance)
                || tree.staged().isEmpty()) {
            return;
        }
        TreeEditor editor = new TreeEditor(tree, view.revision());
        editor.apply(tree.staged().get().edits());
        EffectiveCompiler compiler = new EffectiveCompiler(view, editor.tree());
        EffectiveView staged =
                compiler.compile(view.revision(), editor.touched(), editor.touchedKeys());
        reasons.addAll(
                new CombinationChecks(editor.tree(), staged, inUse)
                        .check(compiler.changes(), editor.touched()));
        effects.addAll(compiler.changes());
    }

    /**
     * The effects that a change would have.
     *
     * @param logged the change as it would be appended to the log
     * @param effects how the effective settings would differ
     */
    public record Preview(LoggedChange logged, List<EffectiveChange> effects) {
        /** Creates a preview. */
        public Preview {
            effects = List.copyOf(effects);
        }
    }
}
