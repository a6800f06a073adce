package ebonygw.settings;

import java.util.Optional;

/**
 * How a change alters the effective settings of one node.
 *
 * @param node the node
 * @param customer customer that is affected, empty if it may be any
 * @param before effective settings before, empty for a new node
 * @param after effective settings after, empty for a removed node
 */
public record EffectiveChange(
        NodeKey node, String customer, Optional<Record> before, Optional<Record> after) {}
