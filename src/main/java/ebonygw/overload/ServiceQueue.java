package ebonygw.overload;

import ebonygw.scheduling.FairQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The held requests of one service in the order of their release: the most urgent priority first,
 * with a guaranteed share for the others; within a priority fair over customers; within a customer
 * the earliest deadline first.
 *
 * <p>Not thread-safe.
 */
final class ServiceQueue {
    /**
     * Share of the releases that each less urgent priority with held requests gets at least. Large
     * enough for a priority with a tenth of the requests, small enough to leave the most urgent one
     * most of the capacity.
     */
    static final double GUARANTEED_SHARE = 0.1;

    /** Maximum sum of the guaranteed shares, so that the most urgent priority keeps the rest. */
    private static final double MAX_GUARANTEED_SHARES = 0.5;

    private static final Comparator<HeldRequest> ORDER =
            Comparator.comparingLong(HeldRequest::deadlineNanos)
                    .thenComparingLong(HeldRequest::exchange);

    /** Weight of each customer; the configuration has none. */
    private static final double WEIGHT = 1;

    private final TreeMap<Integer, Priority> mPriorities = new TreeMap<>();
    private int mSize;
    private long mBytes;

    void add(HeldRequest request) {
        Priority priority = mPriorities.computeIfAbsent(request.priority(), p -> new Priority());
        priority.mQueue.add(request, WEIGHT);
        priority.mCounts.merge(request.customer(), 1, Integer::sum);
        mSize++;
        mBytes += request.bytes();
    }

    /** Returns the size of all held bodies. */
    long bytes() {
        return mBytes;
    }

    /** Returns the request that is released next, empty if none is held. */
    Optional<HeldRequest> first() {
        List<Priority> waiting = waiting();
        return waiting.isEmpty()
                ? Optional.empty()
                : waiting.get(next(credits(waiting))).mQueue.first();
    }

    /**
     * Returns the held requests that pass a filter, in the order in which they would be released if
     * no others were held.
     */
    List<HeldRequest> inOrder(Predicate<HeldRequest> filter) {
        List<Iterator<HeldRequest>> remaining = new ArrayList<>();
        List<Double> credits = new ArrayList<>();
        for (Priority priority : mPriorities.values()) {
            Iterator<HeldRequest> requests = priority.mQueue.inOrder(filter).iterator();
            if (requests.hasNext()) {
                remaining.add(requests);
                credits.add(priority.mCredit);
            }
        }
        List<HeldRequest> ordered = new ArrayList<>();
        while (!remaining.isEmpty()) {
            int next = next(credits);
            ordered.add(remaining.get(next).next());
            updateCredits(credits, next);
            if (!remaining.get(next).hasNext()) {
                remaining.remove(next);
                credits.remove(next);
            }
        }
        return ordered;
    }

    /** Returns the customer's least urgent request, that with the latest deadline. */
    HeldRequest last(String customer) {
        for (Priority priority : mPriorities.descendingMap().values()) {
            for (FairQueue.Flow<HeldRequest> flow : priority.mQueue.waitingFlowsInOrder()) {
                if (flow.customer().equals(customer)) {
                    return flow.last();
                }
            }
        }
        throw new IllegalArgumentException("no request of " + customer);
    }

    /** Returns the customer with the most held work relative to its weight. */
    String mostBacklogged() {
        Map<String, Double> backlogs = new TreeMap<>();
        for (Priority priority : mPriorities.values()) {
            for (FairQueue.Flow<HeldRequest> flow : priority.mQueue.waitingFlowsInOrder()) {
                backlogs.merge(flow.customer(), flow.backlog(), Double::sum);
            }
        }
        return backlogs.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    /** Removes a request that is sent to a target, and charges its work to its customer. */
    void release(HeldRequest request) {
        List<Priority> waiting = waiting();
        List<Double> credits = credits(waiting);
        updateCredits(credits, waiting.indexOf(mPriorities.get(request.priority())));
        for (int i = 0; i < waiting.size(); i++) {
            waiting.get(i).mCredit = credits.get(i);
        }
        mPriorities.get(request.priority()).mQueue.start(request);
        onRemoved(request);
    }

    /** Removes a request that is not sent. */
    void remove(HeldRequest request) {
        mPriorities.get(request.priority()).mQueue.remove(request);
        onRemoved(request);
    }

    /**
     * Returns the number of requests that would be released before one that is not held yet. It is
     * at most what the guaranteed share of its priority lets pass before it. Requests are counted
     * rather than tokens: what most of them wait for is the load of an adapter, which takes the
     * same time for a long prompt.
     */
    double requestsAhead(HeldRequest request) {
        int moreUrgent = 0;
        for (Priority priority : mPriorities.headMap(request.priority()).values()) {
            moreUrgent += priority.mQueue.size();
        }
        Priority own = mPriorities.get(request.priority());
        int ahead = 0;
        if (own != null) {
            int ofCustomer = own.mCounts.getOrDefault(request.customer(), 0);
            int others = own.mCounts.size() - (ofCustomer > 0 ? 1 : 0);
            ahead = Math.min(own.mQueue.size(), ofCustomer * (others + 1) + others);
        }
        return Math.min(moreUrgent + ahead, (ahead + 1) / GUARANTEED_SHARE);
    }

    int size() {
        return mSize;
    }

    private static List<Double> credits(List<Priority> priorities) {
        List<Double> credits = new ArrayList<>();
        priorities.forEach(priority -> credits.add(priority.mCredit));
        return credits;
    }

    /** Returns which of the waiting priorities, the most urgent first, is served next. */
    private static int next(List<Double> credits) {
        int next = 0;
        for (int i = 1; i < credits.size(); i++) {
            double credit = credits.get(i);
            if (credit >= 1 && (next == 0 || credit > credits.get(next))) {
                next = i;
            }
        }
        return next;
    }

    private void onRemoved(HeldRequest request) {
        mSize--;
        mBytes -= request.bytes();
        Priority priority = mPriorities.get(request.priority());
        priority.mCounts.computeIfPresent(
                request.customer(), (customer, count) -> count > 1 ? count - 1 : null);
        if (priority.mQueue.size() == 0) {
            priority.mCredit = 0;
        }
    }

    /**
     * Gives each less urgent priority with requests its share of a release.
     *
     * @param credits credits of the priorities with requests, the most urgent first
     * @param released which of them released a request
     */
    private static void updateCredits(List<Double> credits, int released) {
        double share = Math.min(GUARANTEED_SHARE, MAX_GUARANTEED_SHARES / (credits.size() - 1));
        for (int i = 1; i < credits.size(); i++) {
            credits.set(i, credits.get(i) + share);
        }
        credits.set(released, Math.max(0, credits.get(released) - 1));
    }

    /** Returns the priorities with requests, the most urgent first. */
    private List<Priority> waiting() {
        List<Priority> waiting = new ArrayList<>();
        for (Priority priority : mPriorities.values()) {
            if (priority.mQueue.size() > 0) {
                waiting.add(priority);
            }
        }
        return waiting;
    }

    /** The held requests of one priority. */
    private static final class Priority {
        private final FairQueue<HeldRequest> mQueue = new FairQueue<>(ORDER);

        /** Number of held requests by customer, without those that have none. */
        private final Map<String, Integer> mCounts = new HashMap<>();

        /** Releases that its guaranteed share has earned and not used. */
        private double mCredit;
    }
}
