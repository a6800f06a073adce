package ebonygw.bench.capacity;

/** The load that the system must support, and the resources that one process may use for it. */
final class TargetSize {
    /** Number of entry processes. */
    static final int ENTRIES = 2_800;

    /** Number of target processes. */
    static final int TARGETS = 10_000;

    static final int ADAPTERS = 21_000;

    static final int SETTINGS_CHANGES_PER_DAY = 35_000;

    static final int REQUESTS_PER_SECOND = 110_000;

    /** Hosts that are lost or restarted per day. */
    static final int RESTARTS_PER_DAY = 1_560;

    static final double DAY_SECONDS = 86_400;

    /** Maximum processor time of a process, in percent of one core. */
    static final double MAX_CORE_PERCENT = 4.5;

    /** Maximum live heap of a process. */
    static final double MAX_HEAP_BYTES = 32e6;

    /** Maximum bytes that a process sends per second. */
    static final double MAX_BYTES_PER_SECOND = 29e3;

    /** Number of customers; the estimate assumes that all are active at each entry process. */
    static final int CUSTOMERS = 200;

    static final int REGIONS = 5;

    /** Target processes that an entry process connects to, for each service. */
    static final int CONNECTED_TARGETS = 64;

    /** Adapter versions that are loaded on an engine. */
    static final int RESIDENT_ADAPTERS = 16;

    /** Load reports per second from a busy target process to each connected entry process. */
    static final int LOAD_REPORTS_PER_SECOND = 5;

    /** Reports of all loaded adapters per second from a target to each connected entry. */
    static final double FULL_REPORTS_PER_SECOND = 0.1;

    /** Parts of a response. */
    static final int RESPONSE_PARTS = 64;

    private TargetSize() {}

    /** Returns the number of processes of both roles. */
    static int processes() {
        return ENTRIES + TARGETS;
    }

    /**
     * Returns the member changes per second: a restart changes the state to leaving, joining, live.
     */
    static double memberChangesPerSecond() {
        return 3 * RESTARTS_PER_DAY / DAY_SECONDS;
    }

    static double settingsChangesPerSecond() {
        return SETTINGS_CHANGES_PER_DAY / DAY_SECONDS;
    }
}
