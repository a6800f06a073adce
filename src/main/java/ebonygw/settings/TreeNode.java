package ebonygw.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * A node of the tree of settings.
 *
 * @param key its identity
 * @param parent its parent, null for an organisation
 * @param fields fields that it sets itself rather than inherits
 * @param revision revision that created or last moved it
 */
public record TreeNode(NodeKey key, NodeKey parent, Map<Field, Setting> fields, long revision) {
    /** Creates a node. */
    public TreeNode {
        Objects.requireNonNull(key, "key");
        fields = Map.copyOf(fields);
    }

    /** Returns a copy without a field. */
    TreeNode without(Field field) {
        Map<Field, Setting> copy = copyOfFields();
        copy.remove(field);
        return new TreeNode(key, parent, copy, revision);
    }

    /** Returns a copy with a field set. */
    TreeNode with(Field field, Setting setting) {
        Map<Field, Setting> copy = copyOfFields();
        copy.put(field, setting);
        return new TreeNode(key, parent, copy, revision);
    }

    private Map<Field, Setting> copyOfFields() {
        Map<Field, Setting> copy = new EnumMap<>(Field.class);
        copy.putAll(fields);
        return copy;
    }
}
