package ebonygw.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Orders that got no response, which the replica may still carry out later.
 *
 * <p>Two things prove that an order is not carried out in this life of the replica: it has accepted
 * more orders than the order expects before it, or one with a greater fencing token, where it
 * checks them. A replica that starts again under the same id forgets both, so that an order of a
 * former life may be carried out once the count of accepted orders has come to its number again.
 * Not thread-safe.
 */
final class UnansweredOrders {
    /** Maximum number of orders to remember, those of a few seconds. */
    private static final int MAX_ORDERS = 64;

    /** Time after which an order is forgotten; replicas carry orders out up to 12 s later. */
    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final boolean mFencingEnforced;
    private final Deque<Unanswered> mOrders = new ArrayDeque<>();
    private String mInstance = "";
    private long mLife;
    private long mSentLife;

    /** Greatest fencing token of the orders that were accepted in this life. */
    private long mAcceptedToken;

    /**
     * Creates an object without orders.
     *
     * @param fencingEnforced whether replicas reject orders with a lower token than they have seen
     */
    UnansweredOrders(boolean fencingEnforced) {
        mFencingEnforced = fencingEnforced;
    }

    /** An order, the life of the replica to which it was sent, and when it had no response. */
    private record Unanswered(TargetOrder order, long life, long nanos) {}

    /** Handles that an order is sent; none is sent before the one before it has an outcome. */
    void onSent() {
        mSentLife = mLife;
    }

    /** Handles the outcome of the order that was sent last. */
    void onOutcome(TargetOrder order, TargetOrder.Outcome outcome, long nowNanos) {
        if (outcome == TargetOrder.Outcome.UNKNOWN) {
            if (mOrders.size() >= MAX_ORDERS) {
                mOrders.remove();
            }
            mOrders.add(new Unanswered(order, mSentLife, nowNanos));
        } else if (outcome == TargetOrder.Outcome.ACCEPTED && mSentLife == mLife) {
            mAcceptedToken = Math.max(mAcceptedToken, order.fencingToken());
        }
    }

    /**
     * Handles that the replica has started again, or may have.
     *
     * @param instance its instance id, which orders of a former life expect if it is the same
     */
    void onStartedAgain(String instance) {
        mInstance = instance;
        mLife++;
        mAcceptedToken = 0;
    }

    /** Forgets orders that are not carried out any more. */
    void onTick(long nowNanos) {
        mOrders.removeIf(it -> nowNanos - it.nanos() > MEMORY_NANOS);
    }

    /** Returns the number of orders that may still be carried out, in this life or a later one. */
    int size() {
        return mOrders.size();
    }

    /** Returns whether an order of a former life bears a token, so that no fence tells it off. */
    boolean isOfFormerLife(long fencingToken) {
        return mOrders.stream()
                .filter(it -> it.order().instance().equals(mInstance))
                .anyMatch(it -> it.life() < mLife && it.order().fencingToken() >= fencingToken);
    }

    /**
     * Returns how many adapters such orders may load, one after the other and before any other
     * order, from any count of accepted orders on.
     *
     * @param orders the least of these counts
     * @param held adapters that the replica holds or is loading, which take no further room
     */
    int adaptersToCome(long orders, Set<String> held) {
        Map<Long, Boolean> loads = new HashMap<>();
        for (Unanswered it : mOrders) {
            TargetOrder order = it.order();
            boolean fenced = mFencingEnforced && order.fencingToken() < mAcceptedToken;
            if (order.instance().equals(mInstance) && !fenced && order.expectedOrders() >= orders) {
                boolean load =
                        order.operation() == TargetOrder.Operation.LOAD
                                && !order.adapter().isEmpty()
                                && !held.contains(order.adapter());
                loads.merge(order.expectedOrders(), load, Boolean::logicalOr);
            }
        }
        int most = 0;
        for (long first : loads.keySet()) {
            int count = 0;
            for (long next = first; loads.containsKey(next); next++) {
                count += loads.get(next) ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
