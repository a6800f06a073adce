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
 * <p>A field may be set on the kinds of nodes that use it and on every kind that may be above them
 * in the tree. A node that does not set it inherits the value of its nearest ancestor that does.
 */
public enum Field {
    /** Rate limit of a customer over the whole fleet. */
    RATE("rate", "tokens per second", new Whole(0), 0, 1e12, CUSTOMER),
    /** Burst of a customer over the whole fleet. */
    BURST("burst", "tokens", new Whole(0), 0, 1e12, CUSTOMER),
    /** Weight of a customer in the division of contended capacity, relative to other customers. */
    WEIGHT("weight", "relative", new Decimal(1), 0.001, 1e6, CUSTOMER),
    /** Retries allowed per 100 requests. */
    RETRY_PERCENT("retryPercent", "retries per 100 requests", new Whole(10), 0, 100, CUSTOMER),
    /** Whether a route accepts requests without a key, on behalf of its owner. */
    OPEN_TO_ALL("openToAll", "true or false", new Flag(false), 0, 0, ROUTE),
    /** Base model of an adapter, or model to which a route leads. */
    MODEL("model", "name of a model", new Text(""), 0, 256, ROUTE, ADAPTER),
    /** Plain service to which a route leads. */
    SERVICE("service", "name of a service", new Text(""), 0, 256, ROUTE),
    /** Whether requests to a route may be repeated. */
    IDEMPOTENT("idempotent", "true or false", new Flag(false), 0, 0, ROUTE),
    /** Time limit of a request. */
    TIMEOUT_MILLIS("timeoutMillis", "milliseconds", new Whole(60_000), 1, 3_600_000, ROUTE),
    /** Priority of a route among those of the customer; greater runs earlier. */
    PRIORITY("priority", "greater runs earlier", new Whole(0), -100, 100, ROUTE),
    /** Charge for a request to a plain service. */
    CHARGE("charge", "tokens", new Whole(1), 0, 1e9, ROUTE),
    /** Regions in which a route may run. */
    REGIONS("regions", "names of regions, empty for all", new Names(Set.of()), 0, 1000, ROUTE),
    /** Versions of an adapter that may be served. */
    VERSIONS("versions", "names of versions", new Names(Set.of()), 0, 1000, ADAPTER),
    /** Version for requests that do not name one. */
    DEFAULT_VERSION("defaultVersion", "name of a version", new Text(""), 0, 128, ADAPTER),
    /** Base model or plain service that a target serves. */
    SERVES("serves", "name of a model or service", new Text(""), 0, 256, TARGET),
    /** Whether a target refuses orders with an old fencing token. */
    CHECKS_FENCING("checksFencing", "true or false", new Flag(false), 0, 0, TARGET);

    private final String mJsonName;
    private final String mUnit;
    private final FieldValue mDefault;
    private final double mMin;
    private final double mMax;
    private final Set<NodeKind> mUsers;

    Field(
            String jsonName,
            String unit,
            FieldValue defaultValue,
            double min,
            double max,
            NodeKind... users) {
        mJsonName = jsonName;
        mUnit = unit;
        mDefault = defaultValue;
        mMin = min;
        mMax = max;
        mUsers = Set.of(users);
    }

    /** Returns the field with a name in the JSON form, empty if there is none. */
    public static Optional<Field> ofJsonName(String jsonName) {
        for (Field field : values()) {
            if (field.mJsonName.equals(jsonName)) {
                return Optional.of(field);
            }
        }
        return Optional.empty();
    }

    /** Returns whether it may be set on a node of a kind. */
    public boolean allowedOn(NodeKind kind) {
        Set<NodeKind> allowed = EnumSet.noneOf(NodeKind.class);
        mUsers.forEach(usingKind -> addWithAncestors(usingKind, allowed));
        return allowed.contains(kind);
    }

    /**
     * Returns the value that applies where no node sets one; its class is the type of the field.
     */
    public FieldValue defaultValue() {
        return mDefault;
    }

    /**
     * Returns why a value is invalid, as text that follows the name of the field; empty if it is
     * valid.
     */
    public Optional<String> validationError(FieldValue value) {
        if (!value.getClass().equals(mDefault.getClass())) {
            return Optional.of(
                    "must be of the same type as its default " + mDefault + " (" + mUnit + ")");
        }
        double size = size(value);
        if (value instanceof Flag || (size >= mMin && size <= mMax)) {
            return Optional.empty();
        }
        return Optional.of(
                "must have a value, length or number of names from "
                        + mMin
                        + " to "
                        + mMax
                        + " ("
                        + mUnit
                        + "): "
                        + size);
    }

    /** Returns its unit or meaning as human-readable text. */
    public String unit() {
        return mUnit;
    }

    /** Returns the kinds of nodes whose effective settings contain it. */
    public Set<NodeKind> users() {
        return mUsers;
    }

    /** Returns its name in the JSON form. */
    public String jsonName() {
        return mJsonName;
    }

    private static void addWithAncestors(NodeKind kind, Set<NodeKind> into) {
        if (into.add(kind)) {
            kind.parents().forEach(parent -> addWithAncestors(parent, into));
        }
    }

    /** Returns the number that the bounds apply to: a value, a length or a number of names. */
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
