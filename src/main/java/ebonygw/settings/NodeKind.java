package ebonygw.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Kinds of nodes in the tree of settings. */
public enum NodeKind {
    /** The root of a tree. */
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

    /** Returns its name in lower case, as in the text form of a {@link NodeKey}. */
    public String jsonName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with a lower-case name, empty if there is none. */
    public static Optional<NodeKind> ofJsonName(String name) {
        for (NodeKind kind : values()) {
            if (kind.jsonName().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the kinds that its parent may have, empty for a root. */
    public Set<NodeKind> parents() {
        return switch (this) {
            case ORGANISATION -> Set.of();
            case REGION, CUSTOMER, TARGET -> Set.of(ORGANISATION, REGION);
            case ROUTE, ADAPTER -> Set.of(ORGANISATION, REGION, CUSTOMER);
        };
    }
}
