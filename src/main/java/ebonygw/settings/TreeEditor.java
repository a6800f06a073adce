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
 * Applies the edits of one change to a tree and collects all reasons to refuse them.
 *
 * <p>An instance applies the edits of one change. Not thread-safe.
 */
final class TreeEditor {
    private static final Set<NodeKind> ALL_KINDS = EnumSet.allOf(NodeKind.class);
    private static final int SHA_256_HEX_LENGTH = 64;
    private static final String STAGED_SUBJECT = "staged";

    private final long mRevision;
    private final List<Reason> mReasons = new ArrayList<>();

    /** Inverse edits; each is pushed to the front, so that the last edit is undone first. */
    private final Deque<Edit> mUndo = new ArrayDeque<>();

    private final Map<NodeKey, Set<NodeKind>> mTouched = new java.util.LinkedHashMap<>();
    private final Set<String> mTouchedKeys = new HashSet<>();
    private SettingsTree mTree;
    private boolean mRevertible = true;

    /** Creates an editor; what its edits set, create or move is marked with the revision. */
    TreeEditor(SettingsTree tree, long revision) {
        mTree = tree;
        mRevision = revision;
    }

    /** Applies edits in order; an invalid one is skipped and its reasons are recorded. */
    void apply(List<Edit> edits) {
        edits.forEach(this::apply);
    }

    /** Returns the reasons to refuse the edits, empty if all were applied. */
    List<Reason> reasons() {
        return mReasons;
    }

    /** Returns whether the undo edits revert everything; false once a key is withdrawn. */
    boolean revertible() {
        return mRevertible;
    }

    /**
     * Returns the edited nodes, each with the kinds of nodes at or below it whose effective
     * settings may have changed.
     */
    Map<NodeKey, Set<NodeKind>> touched() {
        return mTouched;
    }

    /** Returns the identifiers of the keys issued or withdrawn. */
    Set<String> touchedKeys() {
        return mTouchedKeys;
    }

    /** Returns the tree after the edits. */
    SettingsTree tree() {
        return mTree;
    }

    /** Returns the edits that revert what was applied, in the order in which to apply them. */
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
            holdOrResume(true);
        } else if (edit instanceof Edit.Resume) {
            holdOrResume(false);
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
        Optional<TreeNode> node = existingNode(edit.node());
        if (node.isEmpty() || !isValidValue(edit.node(), edit.field(), edit.value())) {
            return;
        }
        pushFieldUndo(node.get(), edit.field());
        mTree = mTree.with(node.get().with(edit.field(), new Setting(edit.value(), mRevision)));
        touch(edit.node(), edit.field().users());
    }

    private void checkStageable(Edit edit) {
        Field field = null;
        if (edit instanceof Assign assign) {
            field = assign.field();
        } else if (edit instanceof Clear clear) {
            field = clear.field();
        }
        if (field == null) {
            refuse(STAGED_SUBJECT, "a staged change can only set or clear fields");
        } else if (field == Field.RATE || field == Field.BURST) {
            refuse(
                    STAGED_SUBJECT,
                    field.jsonName() + " applies to the whole fleet and cannot be staged");
        }
    }

    private void clear(Clear edit) {
        Optional<TreeNode> node = existingNode(edit.node());
        if (node.isEmpty()) {
            return;
        }
        pushFieldUndo(node.get(), edit.field());
        mTree = mTree.with(node.get().without(edit.field()));
        touch(edit.node(), edit.field().users());
    }

    private void create(Create edit) {
        NodeKey node = edit.node();
        if (mTree.node(node).isPresent()) {
            refuse(node, "already exists");
            return;
        }
        boolean valid = isValidParent(node, edit.parent());
        Map<Field, Setting> fields = new EnumMap<>(Field.class);
        for (Map.Entry<Field, FieldValue> entry : edit.fields().entrySet()) {
            valid &= isValidValue(node, entry.getKey(), entry.getValue());
            fields.put(entry.getKey(), new Setting(entry.getValue(), mRevision));
        }
        if (!valid) {
            return;
        }
        mTree = mTree.with(new TreeNode(node, edit.parent(), fields, mRevision));
        mUndo.push(new Remove(node));
        touch(node, ALL_KINDS);
    }

    private Optional<TreeNode> existingNode(NodeKey key) {
        Optional<TreeNode> node = mTree.node(key);
        if (node.isEmpty()) {
            refuse(key, "does not exist");
        }
        return node;
    }

    private boolean hasLiveKeys(String customer) {
        return mTree.issuedKeys().stream()
                .anyMatch(key -> key.live() && key.settings().customer().equals(customer));
    }

    private void holdOrResume(boolean held) {
        Optional<StagedEdits> staged = staged();
        if (staged.isEmpty()) {
            return;
        }
        if (staged.get().held() == held) {
            refuse(STAGED_SUBJECT, held ? "is already held" : "is not held");
            return;
        }
        mUndo.push(held ? new Edit.Resume() : new Edit.Hold());
        mTree = mTree.withStaged(staged.get().withHeld(held));
    }

    private boolean isValidParent(NodeKey node, NodeKey parent) {
        Set<NodeKind> allowed = node.kind().parents();
        if (parent == null) {
            if (!allowed.isEmpty()) {
                refuse(node, "needs a parent");
            }
            return allowed.isEmpty();
        }
        if (!allowed.contains(parent.kind())) {
            refuse(node, "cannot have a parent of the kind " + parent.kind().jsonName());
            return false;
        }
        if (mTree.node(parent).isEmpty()) {
            refuse(node, "its parent does not exist: " + parent);
            return false;
        }
        return true;
    }

    private boolean isValidValue(NodeKey node, Field field, FieldValue value) {
        if (!field.allowedOn(node.kind())) {
            refuse(
                    node,
                    field.jsonName()
                            + " cannot be set on a node of the kind "
                            + node.kind().jsonName());
            return false;
        }
        Optional<String> fault = field.validationError(value);
        fault.ifPresent(text -> refuse(node, field.jsonName() + " " + text));
        return fault.isEmpty();
    }

    private void issue(KeySettings key) {
        if (mTree.issuedKey(key.keyId()).isPresent()) {
            refuse("key/" + key.keyId(), "a key with this identifier was already issued");
            return;
        }
        NodeKey customer;
        try {
            customer = new NodeKey(NodeKind.CUSTOMER, key.customer());
        } catch (IllegalArgumentException e) {
            refuse("key/" + key.keyId(), e.getMessage());
            return;
        }
        if (mTree.node(customer).isEmpty()) {
            refuse("key/" + key.keyId(), "its customer does not exist: " + key.customer());
            return;
        }
        if (key.sha256Hex().length() != SHA_256_HEX_LENGTH) {
            refuse(
                    "key/" + key.keyId(),
                    "its hash is not a SHA-256 in hexadecimal: expected "
                            + SHA_256_HEX_LENGTH
                            + " characters, got "
                            + key.sha256Hex().length());
            return;
        }
        String prefix = CallerKeys.prefix(key.sha256Hex());
        if (mTree.issuedKeys().stream()
                .anyMatch(k -> k.settings().sha256Hex().startsWith(prefix))) {
            refuse("key/" + key.keyId(), "its hash has the same prefix as the hash of another key");
            return;
        }
        mTree = mTree.with(new IssuedKey(key, mRevision, 0));
        mTouchedKeys.add(key.keyId());
        mUndo.push(new WithdrawKey(key.keyId()));
    }

    private void move(Move edit) {
        Optional<TreeNode> node = existingNode(edit.node());
        if (node.isEmpty() || !isValidParent(edit.node(), edit.parent())) {
            return;
        }
        for (Optional<TreeNode> ancestor = mTree.node(edit.parent());
                ancestor.isPresent();
                ancestor = Optional.ofNullable(ancestor.get().parent()).flatMap(mTree::node)) {
            if (ancestor.get().key().equals(edit.node())) {
                refuse(edit.node(), "a move below " + edit.parent() + " would create a cycle");
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
            refuse(STAGED_SUBJECT, "is held; resume or abandon it first");
            return;
        }
        mTree = mTree.withStaged(null);
        apply(staged.get().edits());
    }

    private void pushFieldUndo(TreeNode node, Field field) {
        Setting old = node.fields().get(field);
        mUndo.push(
                old == null
                        ? new Clear(node.key(), field)
                        : new Assign(node.key(), field, old.value()));
    }

    private void refuse(NodeKey subject, String detail) {
        refuse(subject.toString(), detail);
    }

    private void refuse(String subject, String detail) {
        mReasons.add(new Reason(subject, detail));
    }

    private void remove(NodeKey key) {
        Optional<TreeNode> node = existingNode(key);
        if (node.isEmpty()) {
            return;
        }
        if (mTree.hasChildren(key)) {
            refuse(key, "has children; remove or move them first");
            return;
        }
        if (mTree.staged().isPresent() && stagedNodes().contains(key)) {
            refuse(key, "a pending staged change edits it; promote or abandon that change first");
            return;
        }
        if (key.kind() == NodeKind.CUSTOMER && hasLiveKeys(key.name())) {
            refuse(key, "has live keys; withdraw them first");
            return;
        }
        Map<Field, FieldValue> fields = new EnumMap<>(Field.class);
        node.get().fields().forEach((field, setting) -> fields.put(field, setting.value()));
        mUndo.push(new Create(key, node.get().parent(), fields));
        mTree = mTree.without(key);
        touch(key, ALL_KINDS);
    }

    private void stage(Edit.Stage stage) {
        if (mTree.staged().isPresent()) {
            refuse(STAGED_SUBJECT, "another staged change is pending; promote or abandon it first");
            return;
        }
        int before = mReasons.size();
        if (stage.where().isEmpty() || stage.edits().isEmpty()) {
            refuse(
                    STAGED_SUBJECT,
                    "needs at least one region or data centre and at least one edit");
        }
        for (String regionOrDataCenter : stage.where()) {
            String region = regionOrDataCenter.split("/", 2)[0];
            boolean known =
                    NodeKey.isValidName(region)
                            && mTree.node(new NodeKey(NodeKind.REGION, region)).isPresent();
            if (!known) {
                refuse(STAGED_SUBJECT, "no such region: " + region);
            }
        }
        stage.edits().forEach(this::checkStageable);
        // The edits are validated as if they were applied to the whole tree now.
        TreeEditor validator = new TreeEditor(mTree, mRevision);
        validator.apply(stage.edits());
        mReasons.addAll(validator.reasons());
        if (mReasons.size() == before) {
            mTree =
                    mTree.withStaged(
                            new StagedEdits(stage.where(), stage.edits(), false, mRevision));
            mUndo.push(new Edit.Abandon());
        }
    }

    private Optional<StagedEdits> staged() {
        Optional<StagedEdits> staged = mTree.staged();
        if (staged.isEmpty()) {
            refuse(STAGED_SUBJECT, "no staged change is pending");
        }
        return staged;
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

    private void touch(NodeKey key, Set<NodeKind> kinds) {
        mTouched.computeIfAbsent(key, k -> EnumSet.noneOf(NodeKind.class)).addAll(kinds);
    }

    private void withdraw(String keyId) {
        Optional<IssuedKey> key = mTree.issuedKey(keyId);
        if (key.isEmpty() || !key.get().live()) {
            refuse("key/" + keyId, key.isEmpty() ? "does not exist" : "is already withdrawn");
            return;
        }
        IssuedKey old = key.get();
        mTree = mTree.with(new IssuedKey(old.settings(), old.issuedAtRevision(), mRevision));
        mTouchedKeys.add(keyId);
        mRevertible = false;
    }
}
