package ebonygw.settings;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identity of a node in the tree of settings. A name is unique within its kind, also below
 * different parents.
 *
 * @param kind its kind
 * @param name its name: 1 to 128 ASCII letters, digits, dots, hyphens and underscores, the first a
 *     letter or digit
 */
public record NodeKey(NodeKind kind, String name) implements Comparable<NodeKey> {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /**
     * Creates an identity.
     *
     * @throws IllegalArgumentException if the name is not valid
     */
    public NodeKey {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "invalid "
                            + kind.jsonName()
                            + " name, must be 1 to 128 letters, digits, dots, hyphens and"
                            + " underscores that start with a letter or digit: "
                            + name);
        }
    }

    /** Returns whether a name is valid, of whatever kind. */
    public static boolean isValidName(String name) {
        return NAME.matcher(name).matches();
    }

    /**
     * Parses the form {@code kind/name}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static NodeKey parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("node must be of the form kind/name: " + text);
        }
        String kindName = text.substring(0, slash);
        NodeKind kind =
                NodeKind.ofJsonName(kindName)
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "unknown kind of node: " + kindName));
        return new NodeKey(kind, text.substring(slash + 1));
    }

    @Override
    public int compareTo(NodeKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.jsonName() + "/" + name;
    }
}
