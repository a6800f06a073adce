package ebonygw;

import ebonygw.admission.LoadBudget;
import ebonygw.admission.ShareMessage;
import ebonygw.membership.Member;
import ebonygw.protocol.Outbox;
import ebonygw.request.AdapterVersion;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Accounts the loads of a target process against the fleet's budget of the weight store.
 *
 * <p>A load is granted first, then ordered, and returned to the budget when its order has ended.
 * Not thread-safe.
 */
final class LoadGrants {
    private final LoadBudget mBudget;
    private final Deque<Long> mAwaitingOrder = new ArrayDeque<>();
    private final Map<AdapterVersion, Long> mOrderedLoads = new HashMap<>();

    /**
     * Creates an instance without grants.
     *
     * @param self the target process
     * @param store name of the weight store, empty if its budget is not divided
     */
    LoadGrants(Member self, String store) {
        mBudget = store.isEmpty() ? null : new LoadBudget(store, self.locality());
    }

    /** Updates the processes of the fleet. */
    void onMembers(Collection<Member> members) {
        if (mBudget != null) {
            mBudget.onMembers(members);
        }
    }

    /** Handles a message of an entry process. */
    void onMessage(ShareMessage message, long nowNanos, Outbox out) {
        if (mBudget != null) {
            mBudget.onMessage(message, nowNanos, out);
        }
    }

    /** Assigns the oldest grant to the load that is ordered now. */
    void onOrdered(AdapterVersion adapter) {
        Long load = mAwaitingOrder.poll();
        if (load != null) {
            mOrderedLoads.put(adapter, load);
        }
    }

    /** Returns a load to the budget: its order has ended or could not be sent. */
    void onOrderEnded(AdapterVersion adapter, long nowNanos, Outbox out) {
        Long load = mOrderedLoads.remove(adapter);
        if (load != null) {
            mBudget.finished(load, nowNanos, out);
        }
    }

    /** Advances time. */
    void onTick(long nowNanos, Outbox out) {
        if (mBudget != null) {
            mBudget.onTick(nowNanos, out);
        }
    }

    /** Returns all grants without an order to the budget, as after a restart of the engine. */
    void releaseUnusedGrants(long nowNanos, Outbox out) {
        for (Long load : mAwaitingOrder) {
            mBudget.finished(load, nowNanos, out);
        }
        mAwaitingOrder.clear();
    }

    /** Grants one load if the budget permits it; returns whether it did. */
    boolean tryGrant(long nowNanos, Outbox out) {
        if (mBudget == null) {
            return true;
        }
        long load = mBudget.tryStart(nowNanos, out);
        if (load < 0) {
            return false;
        }
        mAwaitingOrder.add(load);
        return true;
    }
}
