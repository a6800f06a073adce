package ebonygw.protocol;

import java.util.Objects;

/**
 * The name of a process, unique in the fleet and stable across restarts of the process.
 *
 * @param name the name, not empty
 */
public record NodeId(String name) implements Comparable<NodeId> {
    /**
     * Creates an identifier.
     *
     * @throws NullPointerException if {@code name} is null
     * @throws IllegalArgumentException if {@code name} is empty
     */
    public NodeId {
        Objects.requireNonNull(name, "name");
        if (name.isEmpty()) {
            throw new IllegalArgumentException("node name is empty");
        }
    }

    @Override
    public int compareTo(NodeId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
