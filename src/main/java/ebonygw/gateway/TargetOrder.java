package ebonygw.gateway;

import java.util.Objects;

/**
 * An order to a model replica to load or unload weights.
 *
 * @param operation whether to load or unload
 * @param model the base model
 * @param adapter adapter as MODEL/ADAPTER, empty for the model itself
 * @param version version to load, 0 for the newest
 * @param fencingToken token of the loader; the replica rejects a lower one than it has seen
 * @param expectedOrders number of orders that the replica must have accepted before
 * @param instance the instance that must carry it out
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

    /** Operations of an order. */
    public enum Operation {
        /** Loads or replaces weights. */
        LOAD,
        /** Unloads weights once no request uses them. */
        UNLOAD
    }

    /** Outcomes of an order. */
    public enum Outcome {
        /** It is being carried out, or its result is in place already. */
        ACCEPTED,
        /** Another order is in progress, or the number of accepted orders differs. */
        CONFLICT,
        /** The replica has seen a greater fencing token. */
        FENCED,
        /** Another instance has the address. */
        OTHER_INSTANCE,
        /** The replica rejected it as malformed or impossible. */
        REJECTED,
        /** No response was received; it may still be carried out. */
        UNKNOWN
    }
}
