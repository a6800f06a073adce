package ebonygw.settings;

import java.util.Map;

/** One step of a change of the tree; the steps of a change apply in order. */
public sealed interface Edit {
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

    /**
     * Removes a node that has no children and no live keys.
     *
     * @param node the node
     */
    record Remove(NodeKey node) implements Edit {}

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
