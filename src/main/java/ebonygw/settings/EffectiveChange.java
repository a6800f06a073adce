package ebonygw.settings;

import java.util.Optional;

/**
 * The difference that a change makes to the effective settings of one node.
 *
 * @param node the node
 * @param customer the affected customer, empty if any customer may be affected
 * @param before effective settings before, empty for a new node
 * @param after effective settings after, empty for a removed node
 */
public record EffectiveChange(
        NodeKey node, String customer, Optional<Record> before, Optional<Record> after) {}
