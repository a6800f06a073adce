package ebonygw.settings;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The tree of settings and the callers' keys.
 *
 * <p>Immutable; modified copies share what does not change. Thread-safe.
 */
public final class SettingsTree {
    /** The tree without any node. */
    public static final SettingsTree EMPTY =
            new SettingsTree(HashMap.empty(), HashMap.empty(), HashMap.empty(), null);

    private final HashMap<NodeKey, TreeNode> mNodes;
    private final HashMap<ChildrenKey, HashSet<NodeKey>> mChildren;
    private final HashMap<String, IssuedKey> mKeys;
    private final StagedEdits mStaged;

    private SettingsTree(
            HashMap<NodeKey, TreeNode> nodes,
            HashMap<ChildrenKey, HashSet<NodeKey>> children,
            HashMap<String, IssuedKey> keys,
            StagedEdits staged) {
        mNodes = nodes;
        mChildren = children;
        mKeys = keys;
        mStaged = staged;
    }

    /**
     * Returns the nearest node of a kind on the path from a node, itself included, to the root;
     * empty if there is none.
     */
    public Optional<NodeKey> ancestor(NodeKey key, NodeKind kind) {
        for (TreeNode node = nodeOrNull(key); node != null; node = nodeOrNull(node.parent())) {
            if (node.key().kind() == kind) {
                return Optional.of(node.key());
            }
        }
        return Optional.empty();
    }

    /** Returns the children of a node that have the given kind, in no particular order. */
    public Collection<NodeKey> children(NodeKey parent, NodeKind kind) {
        return mChildren.getOrElse(new ChildrenKey(parent, kind), HashSet.empty()).toJavaList();
    }

    /**
     * Explains where the effective value of a field comes from.
     *
     * @param key the node
     * @param field a field
     * @return the value with its origin; the default if no node sets it
     */
    public Explanation explain(NodeKey key, Field field) {
        for (TreeNode node = nodeOrNull(key); node != null; node = nodeOrNull(node.parent())) {
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
            if (mChildren.containsKey(new ChildrenKey(key, kind))) {
                return true;
            }
        }
        return false;
    }

    /** Returns the key with an identifier, withdrawn or not. */
    public Optional<IssuedKey> issuedKey(String keyId) {
        return mKeys.get(keyId).toJavaOptional();
    }

    /** Returns all keys, withdrawn ones included, in no particular order. */
    public Collection<IssuedKey> issuedKeys() {
        return mKeys.values().toJavaList();
    }

    /** Returns the node with an identity, empty if there is none. */
    public Optional<TreeNode> node(NodeKey key) {
        return Optional.ofNullable(nodeOrNull(key));
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

    /**
     * Returns the effective value of a field: that of the nearest node that sets it, or the
     * default.
     */
    FieldValue effective(NodeKey key, Field field) {
        for (TreeNode node = nodeOrNull(key); node != null; node = nodeOrNull(node.parent())) {
            Setting setting = node.fields().get(field);
            if (setting != null) {
                return setting.value();
            }
        }
        return field.defaultValue();
    }

    /**
     * Returns how many levels above a node the nearest node that sets a field is: 0 for the node
     * itself, -1 if no node sets it.
     */
    int distance(NodeKey key, Field field) {
        int levels = 0;
        for (TreeNode node = nodeOrNull(key); node != null; node = nodeOrNull(node.parent())) {
            if (node.fields().containsKey(field)) {
                return levels;
            }
            levels++;
        }
        return -1;
    }

    /**
     * Returns the farthest node of a kind on the path from a node, itself included, to the root;
     * empty if there is none.
     */
    Optional<NodeKey> farthestAncestor(NodeKey key, NodeKind kind) {
        NodeKey found = null;
        for (TreeNode node = nodeOrNull(key); node != null; node = nodeOrNull(node.parent())) {
            found = node.key().kind() == kind ? node.key() : found;
        }
        return Optional.ofNullable(found);
    }

    /**
     * Passes a node and all nodes below it to the visitor if they are of the given kinds, parents
     * before children.
     */
    void visit(NodeKey key, Set<NodeKind> kinds, Consumer<NodeKey> visitor) {
        if (kinds.contains(key.kind())) {
            visitor.accept(key);
        }
        // Customers are never below another customer.
        boolean customersOnly = Set.of(NodeKind.CUSTOMER).containsAll(kinds);
        if (key.kind() == NodeKind.CUSTOMER && customersOnly) {
            return;
        }
        for (NodeKind kind : NodeKind.values()) {
            // Regions and customers are descended into whether or not they are visited.
            boolean inner = kind == NodeKind.REGION || kind == NodeKind.CUSTOMER;
            if (inner || kinds.contains(kind)) {
                mChildren
                        .getOrElse(new ChildrenKey(key, kind), HashSet.empty())
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
        TreeNode old = nodeOrNull(node.key());
        HashMap<ChildrenKey, HashSet<NodeKey>> children = mChildren;
        if (old == null || !Objects.equals(old.parent(), node.parent())) {
            children = attach(detach(children, old), node);
        }
        return new SettingsTree(mNodes.put(node.key(), node), children, mKeys, mStaged);
    }

    /** Returns the tree with the given staged edits, null for none. */
    SettingsTree withStaged(StagedEdits staged) {
        return new SettingsTree(mNodes, mChildren, mKeys, staged);
    }

    /** Returns the tree without a node, which must have no children. */
    SettingsTree without(NodeKey key) {
        return new SettingsTree(
                mNodes.remove(key), detach(mChildren, nodeOrNull(key)), mKeys, mStaged);
    }

    private static HashMap<ChildrenKey, HashSet<NodeKey>> attach(
            HashMap<ChildrenKey, HashSet<NodeKey>> children, TreeNode node) {
        if (node.parent() == null) {
            return children;
        }
        ChildrenKey childrenKey = new ChildrenKey(node.parent(), node.key().kind());
        return children.put(
                childrenKey, children.getOrElse(childrenKey, HashSet.empty()).add(node.key()));
    }

    private static HashMap<ChildrenKey, HashSet<NodeKey>> detach(
            HashMap<ChildrenKey, HashSet<NodeKey>> children, TreeNode node) {
        if (node == null || node.parent() == null) {
            return children;
        }
        ChildrenKey childrenKey = new ChildrenKey(node.parent(), node.key().kind());
        HashSet<NodeKey> remaining =
                children.getOrElse(childrenKey, HashSet.empty()).remove(node.key());
        return remaining.isEmpty()
                ? children.remove(childrenKey)
                : children.put(childrenKey, remaining);
    }

    private TreeNode nodeOrNull(NodeKey key) {
        return key == null ? null : mNodes.getOrElse(key, null);
    }

    /** Key of the children of one kind of a node. */
    private record ChildrenKey(NodeKey parent, NodeKind kind) {}
}
