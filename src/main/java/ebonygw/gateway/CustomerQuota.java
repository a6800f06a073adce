package ebonygw.gateway;

import ebonygw.protocol.NodeId;
import java.util.Collection;
import java.util.Map;

/** Admission at the customers' quotas, which all entries enforce together. Not thread-safe. */
interface CustomerQuota {
    /**
     * Charges a request if its customer's quota allows it.
     *
     * @param customer name of the customer; one without a limit is never refused
     * @param tokens the charge, not negative
     * @param priority priority of the request, 0 the most urgent
     * @param nowNanos the current time
     * @return 0 if it was charged, else after how many nanoseconds the caller should return
     */
    long charge(String customer, long tokens, int priority, long nowNanos);

    /** Refunds the charge of a request that did not run. */
    void refund(String customer, long tokens);

    /** Returns a customer's available tokens, negative if overdrawn, 0 if it has no limit. */
    long available(String customer);

    /** Returns why a request was just refused, as fields of a log line. */
    default String explain(String customer, long nowNanos) {
        return "left=" + available(customer);
    }

    /** Returns the state of each limited customer, for diagnostics. */
    Map<String, ?> dump();

    /** Applies the tokens that another entry has charged; negative values are refunds. */
    void onUsage(Map<String, Long> tokensByCustomer, long nowNanos);

    /**
     * Applies the number of entries.
     *
     * @param reachable entries that exchange their usage now, including this one, at least 1
     * @param entries entries that may admit requests, at least {@code reachable}
     * @param nowNanos the current time
     */
    void onEntries(int reachable, int entries, long nowNanos);

    /** Applies the quotas of a new configuration; lower limits are in force on return. */
    void onSettings(Collection<GatewayCustomer> customers, long nowNanos);

    /** Returns the tokens charged since the last call, to be sent to all other entries. */
    Map<String, Long> drainUnreported();

    /**
     * Returns what other entries need to know of each customer with changed demand besides the
     * charges; empty for an accounting that only needs the charges.
     */
    default Map<String, QuotaStanding> standings(long nowNanos) {
        return Map.of();
    }

    /**
     * Returns whether the charges of each entry are counted even if it was unreachable when it made
     * them, and {@link #onReachable} and {@link #onRemoved} are to be called.
     */
    default boolean accountsByEntry() {
        return false;
    }

    /** Handles that another entry has become reachable or unreachable. */
    default void onReachable(NodeId entry, boolean reachable, long nowNanos) {}

    /** Handles that another entry is no longer registered. */
    default void onRemoved(NodeId entry) {}

    /** Applies the standing of a customer at another entry. */
    default void onStanding(NodeId entry, String customer, QuotaStanding standing, long nowNanos) {}
}
