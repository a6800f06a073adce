package ebonygw.gateway;

import java.util.Objects;

/**
 * An order to a model replica.
 *
 * @param operation what to do
 * @param model the base model
 * @param adapter one of its adapters, empty for the model itself
 * @param version version to load, 0 for the newest
 * @param fencingToken number that orders the holders
 * @param expectedOrders number of orders accepted before, as a condition
 * @param instance the instance that has to carry it out
 */
public record TargetOrder(
        Operation operation,
        String model,
        String adapter,
        long version,
        long fencingToken,
        long expectedOrders,
        String instance) {
    /** Creates an order. */
    public TargetOrder {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(instance, "instance");
    }

    /** What an order does. */
    public enum Operation {
        /** Loads or replaces weights. */
        LOAD,
        /** Drops weights once no request uses them. */
        UNLOAD
    }

    /** What became of an order. */
    public enum Outcome {
        /** It is being carried out, or holds already. */
        ACCEPTED,
        /** Another order is in progress, or the number of orders differs. */
        CONFLICT,
        /** A greater fencing token was seen. */
        FENCED,
        /** Another instance has the address. */
        OTHER_INSTANCE,
        /** The replica refused it as malformed or impossible. */
        REJECTED,
        /** No answer came; it may still be carried out. */
        UNKNOWN
    }
}
