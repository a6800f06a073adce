package ebonygw.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Capacity limits of the replicas of a model service.
 *
 * @param slots maximum number of requests that run concurrently, at least 1
 * @param memoryTokens tokens that fit into a replica's memory
 * @param adapterSlots maximum number of adapters that a replica holds, including those being loaded
 * @param weightsMegabytes memory for the weights of models and adapters together
 * @param models the models by name
 */
public record EngineLimits(
        int slots,
        long memoryTokens,
        int adapterSlots,
        double weightsMegabytes,
        Map<String, Model> models) {
    /** Creates the limits. */
    public EngineLimits {
        models = Map.copyOf(Objects.requireNonNull(models, "models"));
    }

    /**
     * Weight sizes of a base model.
     *
     * @param megabytes size of its weights
     * @param adapterMegabytes size of one of its adapters; 0 or less for unknown
     */
    public record Model(double megabytes, double adapterMegabytes) {}

    /**
     * Returns how many more adapters of a model fit into a replica. Only the slot limit applies to
     * adapters of unknown size.
     *
     * @param held models that the replica holds
     * @param adapters adapters that it holds and those that it is loading, named MODEL/ADAPTER; one
     *     that is being replaced takes two places
     */
    public int adapterRoom(String model, Set<String> held, List<String> adapters) {
        int slots = Math.max(0, adapterSlots - adapters.size());
        double size = adapterMegabytes(model);
        if (size == 0) {
            return slots;
        }
        double room = weightsMegabytes;
        for (String name : held) {
            room -= models.containsKey(name) ? models.get(name).megabytes() : 0;
        }
        for (String adapter : adapters) {
            room -= adapterMegabytes(modelOf(adapter));
        }
        return (int) Math.max(0, Math.min(slots, Math.floor(room / size)));
    }

    /** Returns the base model of an adapter named MODEL/ADAPTER. */
    static String modelOf(String adapter) {
        int slash = adapter.indexOf('/');
        return slash < 0 ? adapter : adapter.substring(0, slash);
    }

    /** Returns the size of an adapter of a model, 0 if it is not known. */
    private double adapterMegabytes(String model) {
        Model found = models.get(model);
        return found == null ? 0 : Math.max(0, found.adapterMegabytes());
    }
}
