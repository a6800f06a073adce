package ebonygw.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** One edit of the tree; the edits of a change are applied in order. */
public sealed interface Edit {
    /** Discards the staged edits. */
    record Abandon() implements Edit {}

    /**
     * Creates a node.
     *
     * @param node its identity, which must not be in use
     * @param parent its parent, null for an organisation
     * @param fields fields that it sets itself
     */
    record Create(NodeKey node, NodeKey parent, Map<Field, FieldValue> fields) implements Edit {
        /** Creates the edit. */
        public Create {
            fields = Map.copyOf(fields);
        }
    }

    /** Suspends the staged edits, so that they are in force nowhere until resumed. */
    record Hold() implements Edit {}

    /**
     * Adds a caller's key.
     *
     * @param key the key, whose identifier and hash must be new
     */
    record IssueKey(KeySettings key) implements Edit {}

    /**
     * Moves a node and its descendants to another parent.
     *
     * @param node the node
     * @param parent its new parent
     */
    record Move(NodeKey node, NodeKey parent) implements Edit {}

    /** Applies the staged edits everywhere. */
    record Promote() implements Edit {}

    /**
     * Removes a node that has no children and, if it is a customer, no live keys.
     *
     * @param node the node
     */
    record Remove(NodeKey node) implements Edit {}

    /** Puts suspended staged edits in force again where they were staged. */
    record Resume() implements Edit {}

    /**
     * Puts edits in force in a part of the fleet only, until they are promoted or abandoned.
     *
     * @param where regions, and data centres as {@code region/dataCenter}; not empty
     * @param edits edits that only set or clear fields
     */
    record Stage(Set<String> where, List<Edit> edits) implements Edit {
        /** Creates the edit. */
        public Stage {
            where = Set.copyOf(where);
            edits = List.copyOf(edits);
        }
    }

    /**
     * Sets a field of a node.
     *
     * @param node the node
     * @param field the field
     * @param value its value
     */
    record Assign(NodeKey node, Field field, FieldValue value) implements Edit {}

    /**
     * Unsets a field of a node, which then inherits it.
     *
     * @param node the node
     * @param field the field
     */
    record Clear(NodeKey node, Field field) implements Edit {}

    /**
     * Withdraws a caller's key; this cannot be reverted.
     *
     * @param keyId its identifier
     */
    record WithdrawKey(String keyId) implements Edit {}
}
