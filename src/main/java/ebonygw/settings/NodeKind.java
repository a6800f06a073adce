package ebonygw.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Kinds of nodes in the tree of settings. */
public enum NodeKind {
    /** Root of a tree. */
    ORGANISATION,
    /** A region, or a part of one such as a data centre. */
    REGION,
    /** A customer. */
    CUSTOMER,
    /** A route. */
    ROUTE,
    /** An adapter. */
    ADAPTER,
    /** A model engine or plain service. */
    TARGET;

    /** Returns the kind of that lower-case name, empty if there is none. */
    public static Optional<NodeKind> ofWord(String word) {
        for (NodeKind kind : values()) {
            if (kind.word().equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the kinds that may be its parent, empty for a root. */
    public Set<NodeKind> parents() {
        return switch (this) {
            case ORGANISATION -> Set.of();
            case REGION, CUSTOMER, TARGET -> Set.of(ORGANISATION, REGION);
            case ROUTE, ADAPTER -> Set.of(ORGANISATION, REGION, CUSTOMER);
        };
    }

    /** Returns its name in lower case. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
