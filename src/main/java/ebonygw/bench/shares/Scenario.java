package ebonygw.bench.shares;

import java.util.List;

/**
 * What the callers, the network and the platform do in one run.
 *
 * @param name its name
 * @param seconds for how long callers send requests
 * @param loads the customers' loads
 * @param arrival how requests spread over entry processes
 * @param faults whether processes, links and the key-value service fail
 */
record Scenario(String name, int seconds, List<Load> loads, Arrival arrival, boolean faults) {
    /** How requests spread over entry processes. */
    enum Arrival {
        /** All to one process, which changes each second. */
        MOVING,
        /** Zipf's law over processes, constant in time. */
        SKEWED
    }

    /**
     * One customer's requests.
     *
     * @param customer the customer
     * @param ratePerSecond its rate
     * @param burst its burst
     * @param tokens mean tokens charged for a request
     * @param load tokens charged for all requests, relative to the rate
     */
    record Load(String customer, long ratePerSecond, long burst, long tokens, double load) {}

    /** Returns the customers of a fleet, all with the same relative load. */
    static List<Load> loads(double load) {
        return List.of(
                new Load("large", 10_000, 20_000, 500, load),
                new Load("medium", 1_000, 4_000, 200, load),
                new Load("small", 50, 500, 60, load));
    }

    /** Returns loads in which the first customer sends several times its rate. */
    static List<Load> withGreedy(double load, double greedy) {
        List<Load> loads = loads(load);
        Load first = loads.get(0);
        Load more =
                new Load(
                        first.customer(),
                        first.ratePerSecond(),
                        first.burst(),
                        first.tokens(),
                        greedy);
        return List.of(more, loads.get(1), loads.get(2));
    }
}
