package ebonygw.bench.placement;

import java.util.List;
import java.util.Objects;

/**
 * Sizes and load of one experiment.
 *
 * @param name its name
 * @param replicaRegions region number of each model replica
 * @param serviceRegions region number of each replica of the plain service
 * @param regions names of the regions
 * @param customerWeights weight of each customer, which is its part of the rate too
 * @param adapters adapters, divided over the customers by weight
 * @param slots adapter slots of a replica
 * @param maxBatch requests that a replica runs together
 * @param zipfExponent skew of the adapters' popularity inside a customer
 * @param requestsPerSecond model requests a second over the fleet, without bursts
 * @param serviceCallsPerSecond calls a second of the plain service
 * @param storeLoadsPerSecond loads a second that the weight store allows
 * @param warmUpSeconds time before figures count
 * @param measuredSeconds time in which arrivals count
 * @param shiftSeconds time between shifts of popularity
 * @param burstEverySeconds time between bursts of one customer
 * @param burstSeconds length of a burst
 * @param burstFactor how many times its rate the customer sends in a burst
 * @param faults whether loads fail, an engine restarts and a target leaves
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
        double serviceCallsPerSecond,
        double storeLoadsPerSecond,
        int warmUpSeconds,
        int measuredSeconds,
        int shiftSeconds,
        int burstEverySeconds,
        int burstSeconds,
        double burstFactor,
        boolean faults) {
    Scenario {
        Objects.requireNonNull(name, "name");
        replicaRegions = List.copyOf(replicaRegions);
        serviceRegions = List.copyOf(serviceRegions);
        regions = List.copyOf(regions);
        customerWeights = List.copyOf(customerWeights);
    }

    /** Returns the users' present size of that name. */
    static Scenario named(String name) {
        return switch (name) {
            case "harbourside" ->
                    size(
                            name,
                            List.of(0, 0, 1, 1, 2, 2),
                            List.of("kingston", "montego-bay", "mandeville"),
                            4.0,
                            2);
            case "atlas" ->
                    size(
                            name,
                            List.of(0, 0, 0, 1, 1, 1, 2, 2),
                            List.of("casablanca", "fes", "marrakech"),
                            6.0,
                            3);
            default -> throw new IllegalArgumentException("unknown size " + name);
        };
    }

    private static Scenario size(
            String name,
            List<Integer> replicas,
            List<String> regions,
            double requestsPerSecond,
            double loads) {
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
                loads,
                1200,
                3600,
                600,
                900,
                120,
                5,
                false);
    }

    Scenario withAdapters(int slotsOfReplica, double exponent, double requests) {
        return new Scenario(
                name,
                replicaRegions,
                serviceRegions,
                regions,
                customerWeights,
                adapters,
                slotsOfReplica,
                maxBatch,
                exponent,
                requests,
                serviceCallsPerSecond,
                storeLoadsPerSecond,
                warmUpSeconds,
                measuredSeconds,
                shiftSeconds,
                burstEverySeconds,
                burstSeconds,
                burstFactor,
                faults);
    }

    Scenario withFaults(int warmUp, int measured) {
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
                serviceCallsPerSecond,
                storeLoadsPerSecond,
                warmUp,
                measured,
                shiftSeconds,
                burstEverySeconds,
                burstSeconds,
                burstFactor,
                true);
    }

    int replicas() {
        return replicaRegions.size();
    }

    /** Returns the burst that a time falls into, -1 if none. */
    int burstAt(double seconds) {
        double within = seconds % burstEverySeconds;
        boolean inside = within >= burstEverySeconds - burstSeconds;
        return inside ? (int) (seconds / burstEverySeconds) : -1;
    }
}
