package ebonygw.gateway;

import java.util.Map;
import java.util.Objects;

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
     * Returns how many adapters of a model fit into a replica beside the model's own weights. Only
     * the slot limit applies to an unknown model.
     */
    public int adapterCapacity(String model) {
        Model found = models.get(model);
        if (found == null || found.adapterMegabytes() <= 0) {
            return adapterSlots;
        }
        double room = (weightsMegabytes - found.megabytes()) / found.adapterMegabytes();
        return (int) Math.max(0, Math.min(adapterSlots, Math.floor(room)));
    }
}
