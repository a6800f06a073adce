package ebonygw.settings;

import ebonygw.settings.Edit.Assign;
import ebonygw.settings.Edit.Clear;
import ebonygw.settings.Edit.Create;
import ebonygw.settings.Edit.IssueKey;
import ebonygw.settings.Edit.Move;
import ebonygw.settings.Edit.Remove;
import ebonygw.settings.Edit.WithdrawKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Applies the edits of one change to a tree, collecting every reason against them.
 *
 * <p>Used once. Not thread-safe.
 */
final class TreeEditor {
    private static final Set<NodeKind> ALL_KINDS = EnumSet.allOf(NodeKind.class);
    private static final int HASH_LENGTH = 64;
    private static final String STAGED = "staged";

    private final long mRevision;
    private final List<Reason> mReasons = new ArrayList<>();
    private final Deque<Edit> mUndo = new ArrayDeque<>();
    private final Map<NodeKey, Set<NodeKind>> mTouched = new java.util.LinkedHashMap<>();
    private final Set<String> mTouchedKeys = new HashSet<>();
    private SettingsTree mTree;
    private boolean mRevertible = true;

    /** Creates an editor whose edits carry a revision. */
    TreeEditor(SettingsTree tree, long revision) {
        mTree = tree;
        mRevision = revision;
    }

    /** Applies edits in order; one with a fault is left out and its reason kept. */
    void apply(List<Edit> edits) {
        edits.forEach(this::apply);
    }

    /** Returns the reasons against the edits, empty if all were applied. */
    List<Reason> reasons() {
        return mReasons;
    }

    /** Returns whether the undo steps take everything back. */
    boolean revertible() {
        return mRevertible;
    }

    /** Returns the nodes touched, each with the kinds below it whose settings may differ now. */
    Map<NodeKey, Set<NodeKind>> touched() {
        return mTouched;
    }

    /** Returns the identifiers of the keys touched. */
    Set<String> touchedKeys() {
        return mTouchedKeys;
    }

    /** Returns the tree after the edits. */
    SettingsTree tree() {
        return mTree;
    }

    /** Returns the steps that take the edits back. */
    List<Edit> undo() {
        return List.copyOf(mUndo);
    }

    private void apply(Edit edit) {
        if (edit instanceof Create create) {
            create(create);
        } else if (edit instanceof Assign assign) {
            assign(assign);
        } else if (edit instanceof Clear clear) {
            clear(clear);
        } else if (edit instanceof Move move) {
            move(move);
        } else if (edit instanceof Remove remove) {
            remove(remove.node());
        } else if (edit instanceof IssueKey issue) {
            issue(issue.key());
        } else if (edit instanceof WithdrawKey withdraw) {
            withdraw(withdraw.keyId());
        } else if (edit instanceof Edit.Stage stage) {
            stage(stage);
        } else if (edit instanceof Edit.Promote) {
            promote();
        } else if (edit instanceof Edit.Hold) {
            hold(true);
        } else if (edit instanceof Edit.Resume) {
            hold(false);
        } else if (edit instanceof Edit.Abandon) {
            abandon();
        }
    }

    private void abandon() {
        Optional<StagedEdits> staged = staged();
        if (staged.isPresent()) {
            mUndo.push(new Edit.Stage(staged.get().where(), staged.get().edits()));
            mTree = mTree.withStaged(null);
        }
    }

    private void assign(Assign edit) {
        Optional<TreeNode> node = existing(edit.node());
        if (node.isEmpty() || !valid(edit.node(), edit.field(), edit.value())) {
            return;
        }
        undoField(node.get(), edit.field());
        mTree = mTree.with(node.get().with(edit.field(), new Setting(edit.value(), mRevision)));
        touch(edit.node(), edit.field().users());
    }

    private void clear(Clear edit) {
        Optional<TreeNode> node = existing(edit.node());
        if (node.isEmpty()) {
            return;
        }
        undoField(node.get(), edit.field());
        mTree = mTree.with(node.get().without(edit.field()));
        touch(edit.node(), edit.field().users());
    }

    private void create(Create edit) {
        NodeKey node = edit.node();
        if (mTree.node(node).isPresent()) {
            reason(node, "exists already");
            return;
        }
        boolean valid = validParent(node, edit.parent());
        Map<Field, Setting> fields = new EnumMap<>(Field.class);
        for (Map.Entry<Field, FieldValue> entry : edit.fields().entrySet()) {
            valid &= valid(node, entry.getKey(), entry.getValue());
            fields.put(entry.getKey(), new Setting(entry.getValue(), mRevision));
        }
        if (!valid) {
            return;
        }
        mTree = mTree.with(new TreeNode(node, edit.parent(), fields, mRevision));
        mUndo.push(new Remove(node));
        touch(node, ALL_KINDS);
    }

    private Optional<TreeNode> existing(NodeKey key) {
        Optional<TreeNode> node = mTree.node(key);
        if (node.isEmpty()) {
            reason(key, "does not exist");
        }
        return node;
    }

    private void hold(boolean held) {
        Optional<StagedEdits> staged = staged();
        if (staged.isEmpty()) {
            return;
        }
        if (staged.get().held() == held) {
            reason(STAGED, held ? "is held already" : "is not held");
            return;
        }
        mUndo.push(held ? new Edit.Resume() : new Edit.Hold());
        mTree = mTree.withStaged(staged.get().withHeld(held));
    }

    private void issue(KeySettings key) {
        if (mTree.issuedKey(key.keyId()).isPresent()) {
            reason("key/" + key.keyId(), "was issued before");
            return;
        }
        NodeKey customer;
        try {
            customer = new NodeKey(NodeKind.CUSTOMER, key.customer());
        } catch (IllegalArgumentException e) {
            reason("key/" + key.keyId(), e.getMessage());
            return;
        }
        if (mTree.node(customer).isEmpty()) {
            reason("key/" + key.keyId(), "its customer does not exist: " + key.customer());
            return;
        }
        if (key.sha256Hex().length() != HASH_LENGTH) {
            reason("key/" + key.keyId(), "its hash is no SHA-256 in hexadecimal");
            return;
        }
        String prefix = CallerKeys.prefix(key.sha256Hex());
        if (mTree.issuedKeys().stream()
                .anyMatch(k -> k.settings().sha256Hex().startsWith(prefix))) {
            reason("key/" + key.keyId(), "its hash is that of another key");
            return;
        }
        mTree = mTree.with(new IssuedKey(key, mRevision, 0));
        mTouchedKeys.add(key.keyId());
        mUndo.push(new WithdrawKey(key.keyId()));
    }

    private void move(Move edit) {
        Optional<TreeNode> node = existing(edit.node());
        if (node.isEmpty() || !validParent(edit.node(), edit.parent())) {
            return;
        }
        for (Optional<TreeNode> above = mTree.node(edit.parent());
                above.isPresent();
                above = Optional.ofNullable(above.get().parent()).flatMap(mTree::node)) {
            if (above.get().key().equals(edit.node())) {
                reason(edit.node(), "a move below " + edit.parent() + " makes a cycle");
                return;
            }
        }
        mTree =
                mTree.with(
                        new TreeNode(edit.node(), edit.parent(), node.get().fields(), mRevision));
        mUndo.push(new Move(edit.node(), node.get().parent()));
        touch(edit.node(), ALL_KINDS);
    }

    private void promote() {
        Optional<StagedEdits> staged = staged();
        if (staged.isEmpty()) {
            return;
        }
        if (staged.get().held()) {
            reason(STAGED, "is held; resume or abandon it first");
            return;
        }
        mTree = mTree.withStaged(null);
        apply(staged.get().edits());
    }

    private void reason(NodeKey subject, String detail) {
        reason(subject.toString(), detail);
    }

    private void reason(String subject, String detail) {
        mReasons.add(new Reason(subject, detail));
    }

    private void remove(NodeKey key) {
        Optional<TreeNode> node = existing(key);
        if (node.isEmpty()) {
            return;
        }
        if (mTree.hasChildren(key)) {
            reason(key, "has children; remove or move them first");
            return;
        }
        if (mTree.staged().isPresent() && stagedNodes().contains(key)) {
            reason(key, "a staged change is pending for it");
            return;
        }
        if (key.kind() == NodeKind.CUSTOMER && hasLiveKeys(key.name())) {
            reason(key, "has live keys; withdraw them first");
            return;
        }
        Map<Field, FieldValue> fields = new EnumMap<>(Field.class);
        node.get().fields().forEach((field, setting) -> fields.put(field, setting.value()));
        mUndo.push(new Create(key, node.get().parent(), fields));
        mTree = mTree.without(key);
        touch(key, ALL_KINDS);
    }

    private boolean hasLiveKeys(String customer) {
        return mTree.issuedKeys().stream()
                .anyMatch(key -> key.live() && key.settings().customer().equals(customer));
    }

    private void stage(Edit.Stage stage) {
        if (mTree.staged().isPresent()) {
            reason(STAGED, "another staged change is pending; promote or abandon it first");
            return;
        }
        int before = mReasons.size();
        if (stage.where().isEmpty() || stage.edits().isEmpty()) {
            reason(STAGED, "needs a place and edits");
        }
        for (String place : stage.where()) {
            String region = place.split("/", 2)[0];
            boolean known =
                    NodeKey.allowed(region)
                            && mTree.node(new NodeKey(NodeKind.REGION, region)).isPresent();
            if (!known) {
                reason(STAGED, "no such region: " + region);
            }
        }
        stage.edits().forEach(this::checkStageable);
        TreeEditor trial = new TreeEditor(mTree, mRevision);
        trial.apply(stage.edits());
        mReasons.addAll(trial.reasons());
        if (mReasons.size() == before) {
            mTree =
                    mTree.withStaged(
                            new StagedEdits(stage.where(), stage.edits(), false, mRevision));
            mUndo.push(new Edit.Abandon());
        }
    }

    private Set<NodeKey> stagedNodes() {
        Set<NodeKey> nodes = new HashSet<>();
        for (Edit edit : mTree.staged().orElseThrow().edits()) {
            if (edit instanceof Assign assign) {
                nodes.add(assign.node());
            } else if (edit instanceof Clear clear) {
                nodes.add(clear.node());
            }
        }
        return nodes;
    }

    private Optional<StagedEdits> staged() {
        Optional<StagedEdits> staged = mTree.staged();
        if (staged.isEmpty()) {
            reason(STAGED, "no staged change is pending");
        }
        return staged;
    }

    private void checkStageable(Edit edit) {
        Field field = null;
        if (edit instanceof Assign assign) {
            field = assign.field();
        } else if (edit instanceof Clear clear) {
            field = clear.field();
        }
        if (field == null) {
            reason(STAGED, "only fields can be set or cleared in stages");
        } else if (field == Field.RATE || field == Field.BURST) {
            reason(STAGED, field.word() + " holds over the whole fleet and cannot be staged");
        }
    }

    private void touch(NodeKey key, Set<NodeKind> kinds) {
        mTouched.computeIfAbsent(key, k -> EnumSet.noneOf(NodeKind.class)).addAll(kinds);
    }

    private void undoField(TreeNode node, Field field) {
        Setting old = node.fields().get(field);
        mUndo.push(
                old == null
                        ? new Clear(node.key(), field)
                        : new Assign(node.key(), field, old.value()));
    }

    private boolean valid(NodeKey node, Field field, FieldValue value) {
        if (!field.allowedOn(node.kind())) {
            reason(node, field.word() + " has no meaning on a " + node.kind().word());
            return false;
        }
        Optional<String> fault = field.fault(value);
        fault.ifPresent(text -> reason(node, field.word() + " " + text));
        return fault.isEmpty();
    }

    private boolean validParent(NodeKey node, NodeKey parent) {
        Set<NodeKind> allowed = node.kind().parents();
        if (parent == null) {
            if (!allowed.isEmpty()) {
                reason(node, "needs a parent");
            }
            return allowed.isEmpty();
        }
        if (!allowed.contains(parent.kind())) {
            reason(node, "cannot stand below a " + parent.kind().word());
            return false;
        }
        if (mTree.node(parent).isEmpty()) {
            reason(node, "its parent does not exist: " + parent);
            return false;
        }
        return true;
    }

    private void withdraw(String keyId) {
        Optional<IssuedKey> key = mTree.issuedKey(keyId);
        if (key.isEmpty() || !key.get().live()) {
            reason("key/" + keyId, key.isEmpty() ? "does not exist" : "is withdrawn already");
            return;
        }
        IssuedKey old = key.get();
        mTree = mTree.with(new IssuedKey(old.settings(), old.issuedAtRevision(), mRevision));
        mTouchedKeys.add(keyId);
        mRevertible = false;
    }
}
