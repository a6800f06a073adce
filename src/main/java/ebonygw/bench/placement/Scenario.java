package ebonygw.bench.placement;

import java.util.List;
import java.util.Objects;

/**
 * The size and load of the fleet in one experiment.
 *
 * @param replicaRegions region index of each model replica
 * @param serviceRegions region index of each replica of the plain service, a back end without
 *     models
 * @param regions names of the regions
 * @param customerWeights weight of each customer; the rates of customers are in proportion to it
 *     too
 * @param adapters number of adapters, divided over the customers by weight
 * @param slots number of adapter slots per replica
 * @param maxBatch maximum number of requests in the batch of a replica
 * @param zipfExponent Zipf exponent of the popularity of a customer's adapters
 * @param requestsPerSecond rate of model requests over the fleet, without bursts
 * @param serviceRequestsPerSecond rate of requests to the plain service
 * @param storeLoadsPerSecond rate of loads that the weight store allows
 * @param warmUpSeconds duration of the warm-up, which is not measured
 * @param measuredSeconds duration of the measured phase, which follows the warm-up
 * @param shiftIntervalSeconds time between shifts of adapter popularity
 * @param burstIntervalSeconds time from burst to burst; each burst is of one customer, in turn
 * @param burstDurationSeconds duration of a burst, at the end of its interval
 * @param burstFactor rate of model requests of a customer during its burst, in multiples of its
 *     normal rate
 * @param faults whether loads fail, engines restart and targets leave
 */
record Scenario(
        String name,
        List<Integer> replicaRegions,
        List<Integer> serviceRegions,
        List<String> regions,
        List<Double> customerWeights,
        int adapters,
        int slots,
        int maxBatch,
        double zipfExponent,
        double requestsPerSecond,
        double serviceRequestsPerSecond,
        double storeLoadsPerSecond,
        int warmUpSeconds,
        int measuredSeconds,
        int shiftIntervalSeconds,
        int burstIntervalSeconds,
        int burstDurationSeconds,
        double burstFactor,
        boolean faults) {
    Scenario {
        Objects.requireNonNull(name, "name");
        replicaRegions = List.copyOf(replicaRegions);
        serviceRegions = List.copyOf(serviceRegions);
        regions = List.copyOf(regions);
        customerWeights = List.copyOf(customerWeights);
    }

    /**
     * Returns the scenario of a size. Sizes are those of the present deployments.
     *
     * @throws IllegalArgumentException if there is no such size
     */
    static Scenario ofName(String name) {
        return switch (name) {
            case "harbourside" ->
                    create(
                            name,
                            List.of(0, 0, 1, 1, 2, 2),
                            List.of("kingston", "montego-bay", "mandeville"),
                            4.0,
                            2);
            case "atlas" ->
                    create(
                            name,
                            List.of(0, 0, 0, 1, 1, 1, 2, 2),
                            List.of("casablanca", "fes", "marrakech"),
                            6.0,
                            3);
            default ->
                    throw new IllegalArgumentException(
                            "unknown size " + name + "; must be harbourside or atlas");
        };
    }

    private static Scenario create(
            String name,
            List<Integer> replicas,
            List<String> regions,
            double requestsPerSecond,
            double storeLoadsPerSecond) {
        return new Scenario(
                name,
                replicas,
                List.of(0, 1, 2),
                regions,
                List.of(4.0, 3.0, 1.5, 1.0, 0.5),
                3000,
                32,
                8,
                1.2,
                requestsPerSecond,
                0.5,
                storeLoadsPerSecond,
                1200,
                3600,
                600,
                900,
                120,
                5,
                false);
    }

    /** Returns this scenario with other slots per replica, Zipf exponent and rate of requests. */
    Scenario withOverrides(int newSlots, double newExponent, double newRequestsPerSecond) {
        return new Scenario(
                name,
                replicaRegions,
                serviceRegions,
                regions,
                customerWeights,
                adapters,
                newSlots,
                maxBatch,
                newExponent,
                newRequestsPerSecond,
                serviceRequestsPerSecond,
                storeLoadsPerSecond,
                warmUpSeconds,
                measuredSeconds,
                shiftIntervalSeconds,
                burstIntervalSeconds,
                burstDurationSeconds,
                burstFactor,
                faults);
    }

    /** Returns this scenario with faults and with other durations. */
    Scenario withFaults(int newWarmUpSeconds, int newMeasuredSeconds) {
        return new Scenario(
                name,
                replicaRegions,
                serviceRegions,
                regions,
                customerWeights,
                adapters,
                slots,
                maxBatch,
                zipfExponent,
                requestsPerSecond,
                serviceRequestsPerSecond,
                storeLoadsPerSecond,
                newWarmUpSeconds,
                newMeasuredSeconds,
                shiftIntervalSeconds,
                burstIntervalSeconds,
                burstDurationSeconds,
                burstFactor,
                true);
    }

    int replicas() {
        return replicaRegions.size();
    }

    /**
     * Returns the index of the burst at a time, counted from 0 over all customers, or -1 if there
     * is none. The burst is of the customer whose index is the burst's modulo the number of
     * customers.
     */
    int burstIndexAt(double seconds) {
        double intervalSeconds = seconds % burstIntervalSeconds;
        boolean inside = intervalSeconds >= burstIntervalSeconds - burstDurationSeconds;
        return inside ? (int) (seconds / burstIntervalSeconds) : -1;
    }
}
