package ebonygw.settings;

import static ebonygw.settings.NodeKind.ADAPTER;
import static ebonygw.settings.NodeKind.CUSTOMER;
import static ebonygw.settings.NodeKind.ROUTE;
import static ebonygw.settings.NodeKind.TARGET;

import ebonygw.settings.FieldValue.Decimal;
import ebonygw.settings.FieldValue.Flag;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * Fields of the tree of settings, each with its type, unit, bounds and default.
 *
 * <p>A field may be set on the nodes that use it and on every kind of node that may stand above
 * them; a node without it inherits the value of its nearest ancestor that has it.
 */
public enum Field {
    /** Rate of a customer over the whole fleet. */
    RATE("rate", "tokens per second", new Whole(0), 0, 1e12, CUSTOMER),
    /** Burst of a customer over the whole fleet. */
    BURST("burst", "tokens", new Whole(0), 0, 1e12, CUSTOMER),
    /** Part of contended capacity relative to other customers. */
    WEIGHT("weight", "relative", new Decimal(1), 0.001, 1e6, CUSTOMER),
    /** Retries allowed for each 100 requests. */
    RETRY_PERCENT("retryPercent", "retries per 100 requests", new Whole(10), 0, 100, CUSTOMER),
    /** Whether a route runs without a key, for its owner. */
    OPEN_TO_ALL("openToAll", "true or false", new Flag(false), 0, 0, ROUTE),
    /** Base model of an adapter, or model behind a route. */
    MODEL("model", "name of a model", new Text(""), 0, 256, ROUTE, ADAPTER),
    /** Plain service behind a route. */
    SERVICE("service", "name of a service", new Text(""), 0, 256, ROUTE),
    /** Whether a route's calls may be repeated. */
    IDEMPOTENT("idempotent", "true or false", new Flag(false), 0, 0, ROUTE),
    /** Time limit of a request. */
    TIMEOUT_MILLIS("timeoutMillis", "milliseconds", new Whole(60_000), 1, 3_600_000, ROUTE),
    /** Greater runs earlier within the customer. */
    PRIORITY("priority", "greater runs earlier", new Whole(0), -100, 100, ROUTE),
    /** Charge for a call of a plain service. */
    CHARGE("charge", "tokens", new Whole(1), 0, 1e9, ROUTE),
    /** Regions in which a route may run. */
    REGIONS("regions", "names of regions, empty for all", new Names(Set.of()), 0, 1000, ROUTE),
    /** Versions of an adapter that may be served. */
    VERSIONS("versions", "names of versions", new Names(Set.of()), 0, 1000, ADAPTER),
    /** Version for requests that name none. */
    DEFAULT_VERSION("defaultVersion", "name of a version", new Text(""), 0, 128, ADAPTER),
    /** Base model or plain service that a target gives. */
    SERVES("serves", "name of a model or service", new Text(""), 0, 256, TARGET),
    /** Whether a target refuses orders with an old fencing token. */
    CHECKS_FENCING("checksFencing", "true or false", new Flag(false), 0, 0, TARGET);

    private final String mWord;
    private final String mUnit;
    private final FieldValue mDefault;
    private final double mMin;
    private final double mMax;
    private final Set<NodeKind> mUsers;

    Field(String word, String unit, FieldValue fallback, double min, double max, NodeKind... uses) {
        mWord = word;
        mUnit = unit;
        mDefault = fallback;
        mMin = min;
        mMax = max;
        mUsers = Set.of(uses);
    }

    /** Returns the field of that word, empty if there is none. */
    public static Optional<Field> ofWord(String word) {
        for (Field field : values()) {
            if (field.mWord.equals(word)) {
                return Optional.of(field);
            }
        }
        return Optional.empty();
    }

    /** Returns whether it may be set on a node of that kind. */
    public boolean allowedOn(NodeKind kind) {
        Set<NodeKind> allowed = EnumSet.noneOf(NodeKind.class);
        mUsers.forEach(user -> addWithAncestors(user, allowed));
        return allowed.contains(kind);
    }

    /** Returns the value where no node sets one. */
    public FieldValue defaultValue() {
        return mDefault;
    }

    /** Returns what is wrong with a value, empty if nothing is. */
    public Optional<String> fault(FieldValue value) {
        if (!value.getClass().equals(mDefault.getClass())) {
            return Optional.of("must be of the type of " + mDefault + ", in " + mUnit);
        }
        double size = size(value);
        if (value instanceof Flag || (size >= mMin && size <= mMax)) {
            return Optional.empty();
        }
        return Optional.of("out of bounds " + mMin + " to " + mMax + " (" + mUnit + ")");
    }

    /** Returns its unit, as text for people. */
    public String unit() {
        return mUnit;
    }

    /** Returns the kinds of nodes whose effective settings it is part of. */
    public Set<NodeKind> users() {
        return mUsers;
    }

    /** Returns its name in the JSON form. */
    public String word() {
        return mWord;
    }

    private static void addWithAncestors(NodeKind kind, Set<NodeKind> into) {
        if (into.add(kind)) {
            kind.parents().forEach(parent -> addWithAncestors(parent, into));
        }
    }

    private static double size(FieldValue value) {
        if (value instanceof Whole whole) {
            return whole.value();
        }
        if (value instanceof Decimal decimal) {
            return decimal.value();
        }
        if (value instanceof Text text) {
            return text.value().length();
        }
        if (value instanceof Names names) {
            return names.value().size();
        }
        return 0;
    }
}
