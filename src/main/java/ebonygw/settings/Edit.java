package ebonygw.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** One step of a change of the tree; the steps of a change apply in order. */
public sealed interface Edit {
    /** Drops the staged edits. */
    record Abandon() implements Edit {}

    /**
     * Creates a node.
     *
     * @param node its identity, which must be free
     * @param parent its parent, null for an organisation
     * @param fields what it sets itself
     */
    record Create(NodeKey node, NodeKey parent, Map<Field, FieldValue> fields) implements Edit {
        /** Creates the edit. */
        public Create {
            fields = Map.copyOf(fields);
        }
    }

    /** Puts the staged edits out of force for now. */
    record Hold() implements Edit {}

    /**
     * Issues a caller's key.
     *
     * @param key the key, whose identifier and hash must be new
     */
    record IssueKey(KeySettings key) implements Edit {}

    /**
     * Moves a node with all below it to another parent.
     *
     * @param node the node
     * @param parent its new parent
     */
    record Move(NodeKey node, NodeKey parent) implements Edit {}

    /** Puts the staged edits in force everywhere. */
    record Promote() implements Edit {}

    /**
     * Removes a node that has no children and no live keys.
     *
     * @param node the node
     */
    record Remove(NodeKey node) implements Edit {}

    /** Puts held staged edits in force again where they were staged. */
    record Resume() implements Edit {}

    /**
     * Puts edits in force in a part of the fleet first.
     *
     * @param where regions, and data centres as {@code region/dataCenter}
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
     * Lets a node inherit a field again.
     *
     * @param node the node
     * @param field the field
     */
    record Clear(NodeKey node, Field field) implements Edit {}

    /**
     * Withdraws a caller's key for good.
     *
     * @param keyId its identifier
     */
    record WithdrawKey(String keyId) implements Edit {}
}
