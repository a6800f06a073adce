package ebonygw.settings;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The tree of settings with the callers' keys, immutable and sharing what does not change.
 *
 * <p>Thread-safe.
 */
public final class SettingsTree {
    /** The tree without any node. */
    public static final SettingsTree EMPTY =
            new SettingsTree(HashMap.empty(), HashMap.empty(), HashMap.empty(), null);

    private final HashMap<NodeKey, TreeNode> mNodes;
    private final HashMap<Branch, HashSet<NodeKey>> mChildren;
    private final HashMap<String, IssuedKey> mKeys;
    private final StagedEdits mStaged;

    private SettingsTree(
            HashMap<NodeKey, TreeNode> nodes,
            HashMap<Branch, HashSet<NodeKey>> children,
            HashMap<String, IssuedKey> keys,
            StagedEdits staged) {
        mNodes = nodes;
        mChildren = children;
        mKeys = keys;
        mStaged = staged;
    }

    /** Returns the nearest ancestor of a kind, the node itself included; empty if none. */
    public Optional<NodeKey> ancestor(NodeKey key, NodeKind kind) {
        for (TreeNode node = orNull(key); node != null; node = orNull(node.parent())) {
            if (node.key().kind() == kind) {
                return Optional.of(node.key());
            }
        }
        return Optional.empty();
    }

    /** Returns the children of a node that are of a kind, in no particular order. */
    public Collection<NodeKey> children(NodeKey parent, NodeKind kind) {
        return mChildren.getOrElse(new Branch(parent, kind), HashSet.empty()).toJavaList();
    }

    /**
     * Explains the effective value of a field.
     *
     * @param key the node
     * @param field a field
     * @return the value with its origin; the default if no node sets it
     */
    public Explanation explain(NodeKey key, Field field) {
        for (TreeNode node = orNull(key); node != null; node = orNull(node.parent())) {
            Setting setting = node.fields().get(field);
            if (setting != null) {
                return new Explanation(
                        key, field, setting.value(), Optional.of(node.key()), setting.revision());
            }
        }
        return new Explanation(key, field, field.defaultValue(), Optional.empty(), 0);
    }

    /** Returns whether a node has children of any kind. */
    public boolean hasChildren(NodeKey key) {
        for (NodeKind kind : NodeKind.values()) {
            if (mChildren.containsKey(new Branch(key, kind))) {
                return true;
            }
        }
        return false;
    }

    /** Returns the key of that identifier, withdrawn or not. */
    public Optional<IssuedKey> issuedKey(String keyId) {
        return mKeys.get(keyId).toJavaOptional();
    }

    /** Returns all keys, withdrawn ones included, in no particular order. */
    public Collection<IssuedKey> issuedKeys() {
        return mKeys.values().toJavaList();
    }

    /** Returns the node of that identity. */
    public Optional<TreeNode> node(NodeKey key) {
        return Optional.ofNullable(orNull(key));
    }

    /** Returns all nodes, in no particular order. */
    public Collection<TreeNode> nodes() {
        return mNodes.values().toJavaList();
    }

    /** Returns the number of nodes. */
    public int size() {
        return mNodes.size();
    }

    /** Returns the staged edits, held or not; empty if none are pending. */
    public Optional<StagedEdits> staged() {
        return Optional.ofNullable(mStaged);
    }

    /** Returns the effective value of a field. */
    FieldValue effective(NodeKey key, Field field) {
        for (TreeNode node = orNull(key); node != null; node = orNull(node.parent())) {
            Setting setting = node.fields().get(field);
            if (setting != null) {
                return setting.value();
            }
        }
        return field.defaultValue();
    }

    /** Returns how many steps above a node the nearest setting of a field is, -1 if none is. */
    int distance(NodeKey key, Field field) {
        int steps = 0;
        for (TreeNode node = orNull(key); node != null; node = orNull(node.parent())) {
            if (node.fields().containsKey(field)) {
                return steps;
            }
            steps++;
        }
        return -1;
    }

    /** Returns the farthest ancestor of a kind; empty if none. */
    Optional<NodeKey> farthestAncestor(NodeKey key, NodeKind kind) {
        NodeKey found = null;
        for (TreeNode node = orNull(key); node != null; node = orNull(node.parent())) {
            found = node.key().kind() == kind ? node.key() : found;
        }
        return Optional.ofNullable(found);
    }

    /** Passes a node and all below it that are of the given kinds, each parent before children. */
    void visit(NodeKey key, Set<NodeKind> kinds, Consumer<NodeKey> visitor) {
        if (kinds.contains(key.kind())) {
            visitor.accept(key);
        }
        boolean customersOnly = Set.of(NodeKind.CUSTOMER).containsAll(kinds);
        if (key.kind() == NodeKind.CUSTOMER && customersOnly) {
            return;
        }
        for (NodeKind kind : NodeKind.values()) {
            boolean inner = kind == NodeKind.REGION || kind == NodeKind.CUSTOMER;
            if (inner || kinds.contains(kind)) {
                mChildren
                        .getOrElse(new Branch(key, kind), HashSet.empty())
                        .forEach(child -> visit(child, kinds, visitor));
            }
        }
    }

    /** Returns the tree with a key added or replaced. */
    SettingsTree with(IssuedKey key) {
        return new SettingsTree(mNodes, mChildren, mKeys.put(key.settings().keyId(), key), mStaged);
    }

    /** Returns the tree with a node added or replaced. */
    SettingsTree with(TreeNode node) {
        TreeNode old = orNull(node.key());
        HashMap<Branch, HashSet<NodeKey>> children = mChildren;
        if (old == null || !Objects.equals(old.parent(), node.parent())) {
            children = attach(detach(children, old), node);
        }
        return new SettingsTree(mNodes.put(node.key(), node), children, mKeys, mStaged);
    }

    /** Returns the tree with other staged edits, null for none. */
    SettingsTree withStaged(StagedEdits staged) {
        return new SettingsTree(mNodes, mChildren, mKeys, staged);
    }

    /** Returns the tree without a node, which must have no children. */
    SettingsTree without(NodeKey key) {
        return new SettingsTree(mNodes.remove(key), detach(mChildren, orNull(key)), mKeys, mStaged);
    }

    private static HashMap<Branch, HashSet<NodeKey>> attach(
            HashMap<Branch, HashSet<NodeKey>> children, TreeNode node) {
        if (node.parent() == null) {
            return children;
        }
        Branch branch = new Branch(node.parent(), node.key().kind());
        return children.put(branch, children.getOrElse(branch, HashSet.empty()).add(node.key()));
    }

    private static HashMap<Branch, HashSet<NodeKey>> detach(
            HashMap<Branch, HashSet<NodeKey>> children, TreeNode node) {
        if (node == null || node.parent() == null) {
            return children;
        }
        Branch branch = new Branch(node.parent(), node.key().kind());
        HashSet<NodeKey> left = children.getOrElse(branch, HashSet.empty()).remove(node.key());
        return left.isEmpty() ? children.remove(branch) : children.put(branch, left);
    }

    private TreeNode orNull(NodeKey key) {
        return key == null ? null : mNodes.getOrElse(key, null);
    }

    private record Branch(NodeKey parent, NodeKind kind) {}
}
