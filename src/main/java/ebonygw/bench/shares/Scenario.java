package ebonygw.bench.shares;

import java.util.List;

/**
 * What the callers, the network and the platform do in one run.
 *
 * @param name its name
 * @param seconds for how long callers send requests
 * @param loads the customers' loads
 * @param arrival how requests spread over entry processes
 * @param faults kinds of faults that happen at random, empty for none
 */
record Scenario(String name, int seconds, List<Load> loads, Arrival arrival, List<Fault> faults) {
    Scenario {
        faults = List.copyOf(faults);
    }

    /** How requests spread over entry processes. */
    enum Arrival {
        /** All to one process, which changes each second. */
        MOVING,
        /** Zipf's law over processes, constant in time. */
        SKEWED
    }

    /** Kinds of faults. */
    enum Fault {
        /** A process ends at once; a new one starts after a while. */
        CRASH,
        /** A process is stopped gracefully; a new one starts after a while. */
        PLANNED_STOP,
        /** A process does not run for less than a lease. */
        SHORT_PAUSE,
        /** A process does not run for up to several leases. */
        LONG_PAUSE,
        /** The key-value service fails; writes may take effect all the same. */
        SERVICE_DOWN,
        /** A host reaches no other, and in half of the cases not the service either. */
        CUT_OFF,
        /** Two hosts do not reach each other. */
        CUT_PAIR,
        /** A host does not reach the key-value service. */
        CUT_FROM_SERVICE,
        /** A process is replaced while it is paused, and wakes up later. */
        PAUSED_AND_REPLACED,
        /** A process ends while the key-value service is down. */
        CRASH_WHILE_SERVICE_DOWN,
        /** A customer's rate and burst are raised, lowered or removed. */
        SETTINGS
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
