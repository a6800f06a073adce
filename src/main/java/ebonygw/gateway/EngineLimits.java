package ebonygw.gateway;

import java.util.Map;
import java.util.Objects;

/**
 * What the replicas of a model service can hold.
 *
 * @param slots requests that run at once, at least 1
 * @param memoryTokens tokens that fit into a replica's memory
 * @param adapterSlots adapters that a replica holds, those on their way included
 * @param weightsMegabytes room for weights of models and adapters together
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
     * A base model.
     *
     * @param megabytes size of its weights
     * @param adapterMegabytes size of one of its adapters
     */
    public record Model(double megabytes, double adapterMegabytes) {}

    /** Returns how many adapters of a model a replica has places for, beside its weights. */
    public int adapterPlaces(String model) {
        Model found = models.get(model);
        if (found == null || found.adapterMegabytes() <= 0) {
            return adapterSlots;
        }
        double room = (weightsMegabytes - found.megabytes()) / found.adapterMegabytes();
        return (int) Math.max(0, Math.min(adapterSlots, Math.floor(room)));
    }
}
