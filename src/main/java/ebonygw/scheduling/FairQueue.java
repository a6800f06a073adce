package ebonygw.scheduling;

import ebonygw.request.RequestId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Start-time fair queue over customers; tokens are shared in proportion to the customers' weights.
 *
 * <p>The start tag of a customer is the virtual time at which its previous work ended, but not
 * before the current virtual time, so that an idle customer accumulates no credit. Within a
 * customer, higher priority goes first, then earlier arrival. Not thread-safe.
 */
final class FairQueue {
    private static final Comparator<QueuedWork> ORDER =
            Comparator.comparingInt((QueuedWork w) -> -w.mWork.priority())
                    .thenComparingLong(w -> w.mSequence);

    private final Map<String, Flow> mFlows = new HashMap<>();
    private double mVirtualTime;
    private int mSize;
    private long mTokens;

    /** Queues work for its customer; the weight replaces the customer's previous one. */
    void add(QueuedWork work, double weight) {
        Flow flow = mFlows.computeIfAbsent(work.mWork.customer(), Flow::new);
        flow.mWeight = weight;
        if (flow.mWaiting.isEmpty()) {
            flow.mStartTag = Math.max(flow.mStartTag, mVirtualTime);
        }
        flow.mWaiting.add(work);
        flow.mTokens += work.mWork.charge();
        mSize++;
        mTokens += work.mWork.charge();
    }

    /**
     * Returns the total weight of the customers with queued work, always including the given one.
     */
    double activeWeight(String customer, double weight) {
        double sum = weight;
        for (Flow flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty() && !flow.mCustomer.equals(customer)) {
                sum += flow.mWeight;
            }
        }
        return sum;
    }

    /** Returns all queued work in no particular order. */
    List<QueuedWork> all() {
        List<QueuedWork> all = new ArrayList<>(mSize);
        for (Flow flow : mFlows.values()) {
            all.addAll(flow.mWaiting);
        }
        return all;
    }

    /** Returns the customer with the most queued tokens per weight, empty if nothing is queued. */
    Optional<Flow> mostBacklogged() {
        return mFlows.values().stream()
                .filter(f -> !f.mWaiting.isEmpty())
                .max(
                        Comparator.comparingDouble((Flow f) -> f.mTokens / f.mWeight)
                                .thenComparing(f -> f.mCustomer));
    }

    /** Refunds tokens that were charged at the start and not used. */
    void refund(String customer, long tokens) {
        Flow flow = mFlows.get(customer);
        if (flow != null) {
            flow.mStartTag -= tokens / flow.mWeight;
            if (flow.mStartTag < mVirtualTime && flow.mWaiting.isEmpty()) {
                flow.mStartTag = mVirtualTime;
            }
        }
    }

    /** Removes an attempt from the queue; returns empty if it is not queued. */
    Optional<QueuedWork> remove(RequestId id, int attempt) {
        for (Flow flow : mFlows.values()) {
            for (QueuedWork work : flow.mWaiting) {
                if (work.mWork.attempt() == attempt && work.mWork.id().equals(id)) {
                    remove(work);
                    return Optional.of(work);
                }
            }
        }
        return Optional.empty();
    }

    /** Removes work from the queue without running it; does nothing if it is not queued. */
    void remove(QueuedWork work) {
        Flow flow = mFlows.get(work.mWork.customer());
        if (flow == null || !flow.mWaiting.remove(work)) {
            return;
        }
        flow.mTokens -= work.mWork.charge();
        mSize--;
        mTokens -= work.mWork.charge();
    }

    int size() {
        return mSize;
    }

    /** Removes work from the queue to run it, and charges its tokens to its customer. */
    void start(QueuedWork work) {
        Flow flow = mFlows.get(work.mWork.customer());
        remove(work);
        mVirtualTime = Math.max(mVirtualTime, flow.mStartTag);
        flow.mStartTag += Math.max(1, work.mWork.charge()) / flow.mWeight;
        removeIdleFlows();
    }

    long tokens() {
        return mTokens;
    }

    /** Returns the queued tokens of a customer. */
    long tokens(String customer) {
        Flow flow = mFlows.get(customer);
        return flow == null ? 0 : flow.mTokens;
    }

    /** Returns the customers with queued work in fair order: the earliest start tag first. */
    List<Flow> waitingFlowsInOrder() {
        List<Flow> flows = new ArrayList<>(mFlows.size());
        for (Flow flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty()) {
                flows.add(flow);
            }
        }
        flows.sort(
                Comparator.comparingDouble((Flow f) -> f.mStartTag)
                        .thenComparing(f -> f.mCustomer));
        return flows;
    }

    /** Removes customers whose state equals that of a new one, once there are many. */
    private void removeIdleFlows() {
        if (mFlows.size() > 64) {
            mFlows.values().removeIf(f -> f.mWaiting.isEmpty() && f.mStartTag <= mVirtualTime);
        }
    }

    /** The queued work of one customer. */
    static final class Flow {
        final String mCustomer;
        private final TreeSet<QueuedWork> mWaiting = new TreeSet<>(ORDER);
        private double mWeight = 1;
        private double mStartTag;
        private long mTokens;

        Flow(String customer) {
            mCustomer = customer;
        }

        /** Returns the latest arrival of the lowest priority. */
        QueuedWork last() {
            return mWaiting.last();
        }

        Collection<QueuedWork> waiting() {
            return mWaiting;
        }

        double weight() {
            return mWeight;
        }
    }
}
