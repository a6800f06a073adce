package ebonygw.settings;

import java.util.Optional;

/**
 * The origin of an effective value.
 *
 * @param node the node whose value is explained
 * @param field the field
 * @param value its effective value
 * @param origin node that sets it, empty for the built-in default
 * @param revision revision that set it, 0 for the default
 */
public record Explanation(
        NodeKey node, Field field, FieldValue value, Optional<NodeKey> origin, long revision) {}
