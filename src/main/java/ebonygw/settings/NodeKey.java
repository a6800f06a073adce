package ebonygw.settings;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identity of a node in the tree of settings: unique for its kind, whatever its parent.
 *
 * @param kind its kind
 * @param name its name: 1 to 128 letters, digits, dots, hyphens and underscores
 */
public record NodeKey(NodeKind kind, String name) implements Comparable<NodeKey> {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /**
     * Creates an identity.
     *
     * @throws IllegalArgumentException if the name is not allowed
     */
    public NodeKey {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException("bad name of a " + kind.word() + ": " + name);
        }
    }

    /** Returns whether a name is allowed. */
    public static boolean allowed(String name) {
        return NAME.matcher(name).matches();
    }

    /**
     * Reads the form {@code kind/name}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static NodeKey parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("not of the form kind/name: " + text);
        }
        String word = text.substring(0, slash);
        NodeKind kind =
                NodeKind.ofWord(word)
                        .orElseThrow(() -> new IllegalArgumentException("unknown kind: " + word));
        return new NodeKey(kind, text.substring(slash + 1));
    }

    @Override
    public int compareTo(NodeKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.word() + "/" + name;
    }
}
