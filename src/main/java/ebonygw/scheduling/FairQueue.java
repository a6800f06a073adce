package ebonygw.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Start-time fair queue over customers; tokens are shared in proportion to the customers' weights.
 *
 * <p>The start tag of a customer is the virtual time at which its previous work ended, but not
 * before the current virtual time, so that an idle customer accumulates no credit. Not thread-safe.
 *
 * @param <W> type of the queued work
 */
public final class FairQueue<W extends FairQueue.Work> {
    private final Comparator<W> mOrder;
    private final Map<String, Flow<W>> mFlows = new HashMap<>();
    private double mVirtualTime;
    private int mSize;
    private long mTokens;

    /**
     * Creates an empty queue.
     *
     * @param order order within a customer; no two pieces of work may be equal by it
     * @throws NullPointerException if {@code order} is null
     */
    public FairQueue(Comparator<W> order) {
        mOrder = Objects.requireNonNull(order, "order");
    }

    /** Queues work for its customer; the weight replaces the customer's previous one. */
    public void add(W work, double weight) {
        Flow<W> flow = mFlows.computeIfAbsent(work.customer(), name -> new Flow<>(name, mOrder));
        flow.mWeight = weight;
        if (flow.mWaiting.isEmpty()) {
            flow.mStartTag = Math.max(flow.mStartTag, mVirtualTime);
        }
        flow.mWaiting.add(work);
        flow.mTokens += work.charge();
        mSize++;
        mTokens += work.charge();
    }

    /**
     * Returns the total weight of the customers with queued work, always including the given one.
     */
    public double activeWeight(String customer, double weight) {
        double sum = weight;
        for (Flow<W> flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty() && !flow.mCustomer.equals(customer)) {
                sum += flow.mWeight;
            }
        }
        return sum;
    }

    /** Returns all queued work in no particular order. */
    public List<W> all() {
        List<W> all = new ArrayList<>(mSize);
        for (Flow<W> flow : mFlows.values()) {
            all.addAll(flow.mWaiting);
        }
        return all;
    }

    /** Returns the work that goes next, empty if nothing is queued. */
    public Optional<W> first() {
        Flow<W> first = null;
        for (Flow<W> flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty()
                    && (first == null
                            || flow.mStartTag < first.mStartTag
                            || flow.mStartTag == first.mStartTag
                                    && flow.mCustomer.compareTo(first.mCustomer) < 0)) {
                first = flow;
            }
        }
        return first == null ? Optional.empty() : Optional.of(first.mWaiting.first());
    }

    /**
     * Returns the queued work that passes a filter, in the order in which it would be started if
     * nothing else were queued and nothing were added.
     */
    public List<W> inOrder(Predicate<W> filter) {
        PriorityQueue<Cursor<W>> cursors =
                new PriorityQueue<>(
                        Comparator.comparingDouble((Cursor<W> c) -> c.mTag)
                                .thenComparing(c -> c.mFlow.mCustomer));
        for (Flow<W> flow : mFlows.values()) {
            Cursor<W> cursor = new Cursor<>(flow, filter);
            if (cursor.mNext != null) {
                cursors.add(cursor);
            }
        }
        List<W> ordered = new ArrayList<>();
        while (!cursors.isEmpty()) {
            Cursor<W> cursor = cursors.poll();
            ordered.add(cursor.mNext);
            cursor.mTag += Math.max(1, cursor.mNext.charge()) / cursor.mFlow.mWeight;
            cursor.advance(filter);
            if (cursor.mNext != null) {
                cursors.add(cursor);
            }
        }
        return ordered;
    }

    /** Returns the customer with the most queued tokens per weight, empty if nothing is queued. */
    public Optional<Flow<W>> mostBacklogged() {
        return mFlows.values().stream()
                .filter(f -> !f.mWaiting.isEmpty())
                .max(
                        Comparator.comparingDouble((Flow<W> f) -> f.mTokens / f.mWeight)
                                .thenComparing(f -> f.mCustomer));
    }

    /** Refunds tokens that were charged at the start and not used. */
    void refund(String customer, long tokens) {
        Flow<W> flow = mFlows.get(customer);
        if (flow != null) {
            flow.mStartTag -= tokens / flow.mWeight;
            if (flow.mStartTag < mVirtualTime && flow.mWaiting.isEmpty()) {
                flow.mStartTag = mVirtualTime;
            }
        }
    }

    /** Removes work from the queue without running it; does nothing if it is not queued. */
    public void remove(W work) {
        Flow<W> flow = mFlows.get(work.customer());
        if (flow == null || !flow.mWaiting.remove(work)) {
            return;
        }
        flow.mTokens -= work.charge();
        mSize--;
        mTokens -= work.charge();
    }

    /** Returns the number of pieces of queued work. */
    public int size() {
        return mSize;
    }

    /** Removes work from the queue to run it, and charges its tokens to its customer. */
    public void start(W work) {
        Flow<W> flow = mFlows.get(work.customer());
        remove(work);
        mVirtualTime = Math.max(mVirtualTime, flow.mStartTag);
        flow.mStartTag += Math.max(1, work.charge()) / flow.mWeight;
        removeIdleFlows();
    }

    /** Returns all queued tokens. */
    public long tokens() {
        return mTokens;
    }

    /** Returns the queued tokens of a customer. */
    public long tokens(String customer) {
        Flow<W> flow = mFlows.get(customer);
        return flow == null ? 0 : flow.mTokens;
    }

    /** Returns the customers with queued work in fair order: the earliest start tag first. */
    public List<Flow<W>> waitingFlowsInOrder() {
        List<Flow<W>> flows = new ArrayList<>(mFlows.size());
        for (Flow<W> flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty()) {
                flows.add(flow);
            }
        }
        flows.sort(
                Comparator.comparingDouble((Flow<W> f) -> f.mStartTag)
                        .thenComparing(f -> f.mCustomer));
        return flows;
    }

    /** Removes customers whose state equals that of a new one, once there are many. */
    private void removeIdleFlows() {
        if (mFlows.size() > 64) {
            mFlows.values().removeIf(f -> f.mWaiting.isEmpty() && f.mStartTag <= mVirtualTime);
        }
    }

    /** Position in a customer's work while an order is computed. */
    private static final class Cursor<W extends Work> {
        private final Flow<W> mFlow;
        private final Iterator<W> mWork;
        private double mTag;
        private W mNext;

        Cursor(Flow<W> flow, Predicate<W> filter) {
            mFlow = flow;
            mWork = flow.mWaiting.iterator();
            mTag = flow.mStartTag;
            advance(filter);
        }

        void advance(Predicate<W> filter) {
            mNext = null;
            while (mNext == null && mWork.hasNext()) {
                W work = mWork.next();
                mNext = filter.test(work) ? work : null;
            }
        }
    }

    /** Work of a customer. */
    public interface Work {
        /** Returns the customer. */
        String customer();

        /** Returns the work in tokens, or in another unit common to the queue; not negative. */
        long charge();
    }

    /** The queued work of one customer. */
    public static final class Flow<W extends Work> {
        private final String mCustomer;
        private final TreeSet<W> mWaiting;
        private double mWeight = 1;
        private double mStartTag;
        private long mTokens;

        Flow(String customer, Comparator<W> order) {
            mCustomer = customer;
            mWaiting = new TreeSet<>(order);
        }

        /** Returns the customer. */
        public String customer() {
            return mCustomer;
        }

        /** Returns the work that is last in the order. */
        public W last() {
            return mWaiting.last();
        }

        /** Returns the queued work in order. */
        public Collection<W> waiting() {
            return mWaiting;
        }

        /** Returns the queued tokens divided by the weight. */
        public double backlog() {
            return mTokens / mWeight;
        }

        double weight() {
            return mWeight;
        }
    }
}
