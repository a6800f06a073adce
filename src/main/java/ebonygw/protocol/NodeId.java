package ebonygw.protocol;

import java.util.Objects;

/**
 * The name of one of the system's processes, unique in the fleet and stable across its restarts.
 *
 * @param name the name, never empty
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
            throw new IllegalArgumentException("name is empty");
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
