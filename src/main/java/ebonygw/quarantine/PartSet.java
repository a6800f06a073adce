package ebonygw.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Distinct prompt parts without an order among them. Immutable; compared by their ids.
 *
 * @param ids ids of the parts in ascending order
 */
public record PartSet(List<String> ids) implements Comparable<PartSet> {
    private static final String SEPARATOR = ",";

    /**
     * Creates a set, which copies the ids, sorts them and drops repeated ones.
     *
     * @throws NullPointerException if an id is null
     */
    public PartSet {
        ids = List.copyOf(new TreeSet<>(ids));
    }

    /** Returns the set of some parts. */
    public static PartSet of(String... ids) {
        return new PartSet(List.of(ids));
    }

    /** Returns the set that {@link #toString} has written. */
    public static PartSet parse(String text) {
        return of(text.split(SEPARATOR));
    }

    /** Returns whether all parts of this set are among others. */
    public boolean isWithin(Collection<String> others) {
        return others.containsAll(ids);
    }

    /** Returns whether another set has all parts of this one, and more. */
    boolean isSmallerThan(PartSet other) {
        return ids.size() < other.ids.size() && isWithin(other.ids);
    }

    /** Returns the parts of this set that are among others, which may be none. */
    public PartSet common(Collection<String> others) {
        return new PartSet(ids.stream().filter(others::contains).toList());
    }

    /** Returns whether there is no part. */
    public boolean isEmpty() {
        return ids.isEmpty();
    }

    @Override
    public int compareTo(PartSet other) {
        return toString().compareTo(other.toString());
    }

    /** Returns the ids, separated by commas. */
    @Override
    public String toString() {
        return String.join(SEPARATOR, ids);
    }
}
