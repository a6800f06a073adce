package ebonygw.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * One difference between two trees.
 *
 * @param node the node
 * @param what name of the field, or {@code node} if the existence or the parent of the node differs
 * @param before value in the first tree, empty if absent
 * @param after value in the second tree, empty if absent
 */
public record TreeDifference(
        NodeKey node, String what, Optional<String> before, Optional<String> after) {
    /** Returns the differences from one tree to another, in the order of their nodes. */
    public static List<TreeDifference> between(SettingsTree from, SettingsTree to) {
        Map<NodeKey, TreeNode> old = new HashMap<>();
        from.nodes().forEach(node -> old.put(node.key(), node));
        List<TreeDifference> differences = new ArrayList<>();
        for (TreeNode now : to.nodes()) {
            TreeNode before = old.remove(now.key());
            if (before != now) {
                compare(now.key(), Optional.ofNullable(before), Optional.of(now), differences);
            }
        }
        old.values()
                .forEach(
                        removed ->
                                compare(
                                        removed.key(),
                                        Optional.of(removed),
                                        Optional.empty(),
                                        differences));
        differences.sort(
                Comparator.comparing(TreeDifference::node).thenComparing(TreeDifference::what));
        return differences;
    }

    private static void compare(
            NodeKey key,
            Optional<TreeNode> before,
            Optional<TreeNode> after,
            List<TreeDifference> differences) {
        add(
                key,
                "node",
                before.map(TreeDifference::parentText),
                after.map(TreeDifference::parentText),
                differences);
        Set<Field> fields = new TreeSet<>();
        before.ifPresent(node -> fields.addAll(node.fields().keySet()));
        after.ifPresent(node -> fields.addAll(node.fields().keySet()));
        for (Field field : fields) {
            add(
                    key,
                    field.jsonName(),
                    before.flatMap(node -> value(node, field)),
                    after.flatMap(node -> value(node, field)),
                    differences);
        }
    }

    private static void add(
            NodeKey key,
            String what,
            Optional<String> before,
            Optional<String> after,
            List<TreeDifference> differences) {
        if (!before.equals(after)) {
            differences.add(new TreeDifference(key, what, before, after));
        }
    }

    private static String parentText(TreeNode node) {
        return node.parent() == null ? "root" : "below " + node.parent();
    }

    private static Optional<String> value(TreeNode node, Field field) {
        return Optional.ofNullable(node.fields().get(field))
                .map(setting -> setting.value().toString());
    }
}
