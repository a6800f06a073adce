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
 * Start-time fair queue over customers, in tokens by weight.
 *
 * <p>A customer's start tag is where its former work ended in virtual time, but never before the
 * virtual time now, so that an idle customer gathers no credit. Inside a customer, greater priority
 * goes first, then the earlier arrival. Not thread-safe.
 */
final class FairQueue {
    private static final Comparator<QueuedWork> ORDER =
            Comparator.comparingInt((QueuedWork w) -> -w.mWork.priority())
                    .thenComparingLong(w -> w.mSequence);

    private final Map<String, Flow> mFlows = new HashMap<>();
    private double mVirtualTime;
    private int mSize;
    private long mTokens;

    /** Queues work for its customer; the weight replaces the customer's former one. */
    void add(QueuedWork work, double weight) {
        Flow flow = mFlows.computeIfAbsent(work.mWork.customer(), Flow::new);
        flow.mWeight = weight;
        if (flow.mWaiting.isEmpty()) {
            flow.mTag = Math.max(flow.mTag, mVirtualTime);
        }
        flow.mWaiting.add(work);
        flow.mTokens += work.mWork.charge();
        mSize++;
        mTokens += work.mWork.charge();
    }

    /** Returns the weight of waiting customers together, counting the given one in any case. */
    double activeWeight(String customer, double weight) {
        double sum = weight;
        for (Flow flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty() && !flow.mCustomer.equals(customer)) {
                sum += flow.mWeight;
            }
        }
        return sum;
    }

    /** Returns all waiting work. */
    List<QueuedWork> all() {
        List<QueuedWork> all = new ArrayList<>(mSize);
        for (Flow flow : mFlows.values()) {
            all.addAll(flow.mWaiting);
        }
        return all;
    }

    /** Gives back tokens that were charged at the start and not used. */
    void giveBack(String customer, long tokens) {
        Flow flow = mFlows.get(customer);
        if (flow != null) {
            flow.mTag -= tokens / flow.mWeight;
            if (flow.mTag < mVirtualTime && flow.mWaiting.isEmpty()) {
                flow.mTag = mVirtualTime;
            }
        }
    }

    /** Returns the customers that wait, the one that is due first at the head. */
    List<Flow> inOrder() {
        List<Flow> flows = new ArrayList<>(mFlows.size());
        for (Flow flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty()) {
                flows.add(flow);
            }
        }
        flows.sort(Comparator.comparingDouble((Flow f) -> f.mTag).thenComparing(f -> f.mCustomer));
        return flows;
    }

    /** Returns the customer with the most waiting tokens for its weight. */
    Optional<Flow> mostBacklogged() {
        return mFlows.values().stream()
                .filter(f -> !f.mWaiting.isEmpty())
                .max(
                        Comparator.comparingDouble((Flow f) -> f.mTokens / f.mWeight)
                                .thenComparing(f -> f.mCustomer));
    }

    /** Takes an attempt out of the queue. */
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

    /** Takes work out of the queue without running it. */
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

    /** Takes work out of the queue to run it and charges its customer. */
    void start(QueuedWork work) {
        Flow flow = mFlows.get(work.mWork.customer());
        remove(work);
        mVirtualTime = Math.max(mVirtualTime, flow.mTag);
        flow.mTag += Math.max(1, work.mWork.charge()) / flow.mWeight;
        forgetIdle();
    }

    long tokens() {
        return mTokens;
    }

    /** Returns the tokens that wait for a customer. */
    long tokens(String customer) {
        Flow flow = mFlows.get(customer);
        return flow == null ? 0 : flow.mTokens;
    }

    private void forgetIdle() {
        if (mFlows.size() > 64) {
            mFlows.values().removeIf(f -> f.mWaiting.isEmpty() && f.mTag <= mVirtualTime);
        }
    }

    /** The waiting work of one customer. */
    static final class Flow {
        final String mCustomer;
        private final TreeSet<QueuedWork> mWaiting = new TreeSet<>(ORDER);
        private double mWeight = 1;
        private double mTag;
        private long mTokens;

        Flow(String customer) {
            mCustomer = customer;
        }

        /** Returns the work that came last within the least priority. */
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
