package ebonygw.bench.shares;

import java.util.List;

/**
 * The traffic and the faults of one run.
 *
 * @param name name in the report and on the command line
 * @param seconds for how long callers send requests
 * @param loads traffic of each customer
 * @param arrival how requests are distributed over entry processes
 * @param faults kinds of faults that are injected at random, empty for none
 */
record Scenario(String name, int seconds, List<Load> loads, Arrival arrival, List<Fault> faults) {
    Scenario {
        faults = List.copyOf(faults);
    }

    /** How a customer's requests are distributed over entry processes. */
    enum Arrival {
        /** All requests go to one process, which changes each second. */
        MOVING,
        /** By Zipf's law over processes, constant in time. */
        SKEWED
    }

    /** Kinds of faults that can be injected. */
    enum Fault {
        /** A process is killed; a new one starts later. */
        CRASH,
        /** A process is stopped gracefully; a new one starts later. */
        PLANNED_STOP,
        /** A process is paused for less than the duration of a lease. */
        SHORT_PAUSE,
        /** A process is paused for up to several times the duration of a lease. */
        LONG_PAUSE,
        /** The key-value service fails; writes may still take effect. */
        SERVICE_DOWN,
        /** A host reaches no other, and in half of the cases not the key-value service either. */
        CUT_OFF,
        /** Two hosts cannot reach each other. */
        CUT_PAIR,
        /** A host cannot reach the key-value service. */
        CUT_FROM_SERVICE,
        /** A process is replaced while it is paused, and resumes later beside its successor. */
        PAUSED_AND_REPLACED,
        /** A process is killed while the key-value service fails. */
        CRASH_WHILE_SERVICE_DOWN,
        /** A customer's rate and burst are raised, lowered or removed. */
        SETTINGS
    }

    /**
     * The limits and the traffic of one customer.
     *
     * @param customer the customer
     * @param ratePerSecond its rate
     * @param burst its burst
     * @param tokens mean tokens charged for a request
     * @param load tokens charged for all requests, relative to the rate
     */
    record Load(String customer, long ratePerSecond, long burst, long tokens, double load) {}

    /** Returns the loads of three customers of different size, all with the same relative load. */
    static List<Load> loads(double load) {
        return List.of(
                new Load("large", 10_000, 20_000, 500, load),
                new Load("medium", 1_000, 4_000, 200, load),
                new Load("small", 50, 500, 60, load));
    }

    /** Returns the same loads, but the first customer sends {@code greedy} times its rate. */
    static List<Load> loadsWithGreedyCustomer(double load, double greedy) {
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
